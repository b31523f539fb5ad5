/** The daemon program and the wiring of its parts. */
package org.sardinepost.daemon;
