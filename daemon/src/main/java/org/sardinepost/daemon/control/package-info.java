/** Control work of the daemon on one thread: configuration, membership, peers, loads and handover. */
package org.sardinepost.daemon.control;
