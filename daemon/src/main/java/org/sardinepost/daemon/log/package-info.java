/** Log events of the daemon and their output as JSON lines. */
package org.sardinepost.daemon.log;
