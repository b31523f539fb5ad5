/** Prometheus metrics of the daemon. */
package org.sardinepost.daemon.metrics;
