/** Parsing of INI files with line numbers, and the findings of rules that check them. */
package org.sardinepost.core.ini;
