/** The control plane of the daemon: configuration, membership, peers, loads and token handover, on one thread. */
package org.sardinepost.daemon.control;
