/** The kinds of value that INI files of the programs contain. */
package org.sardinepost.core.ini.values;
