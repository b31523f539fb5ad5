/** Numbered log events. */
package org.sardinepost.daemon.log;
