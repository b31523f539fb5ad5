package org.sardinepost.daemon.placement;

import org.sardinepost.core.routing.UpstreamId;

/** The coordinator of a service did not grant a dispatch; the call is dispatched locally instead. */
final class CoordinatorUnavailableException extends RuntimeException {
    CoordinatorUnavailableException(UpstreamId coordinator) {
        super(
                "coordinator " + coordinator + " granted no dispatch in time; this daemon dispatches the call itself",
                null,
                false,
                false);
    }
}
