/** The daemon program, which creates and connects the components of the daemon. */
package org.sardinepost.daemon;
