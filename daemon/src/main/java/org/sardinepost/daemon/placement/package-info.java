/** Central placement: one daemon, the coordinator, dispatches the calls of all daemons to a service. */
package org.sardinepost.daemon.placement;
