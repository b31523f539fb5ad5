/** Rules that hold for every INI file of the programs. */
package org.sardinepost.core.ini.rules;
