/** The value types of the INI files that the programs read. */
package org.sardinepost.core.ini.values;
