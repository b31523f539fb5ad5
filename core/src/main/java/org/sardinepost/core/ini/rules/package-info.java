/** Rules that apply to every INI file that the programs read. */
package org.sardinepost.core.ini.rules;
