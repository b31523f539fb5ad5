/** INI documents with line numbers, and the findings of checks on them. */
package org.sardinepost.core.ini;
