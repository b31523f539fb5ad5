package org.sardinepost.core.routing;

import java.util.Objects;

/** This daemon's calls in progress and recent failures on one upstream, as sent to peers. */
public record OwnLoad(UpstreamId upstream, int inFlight, int recentFailures) {
    public OwnLoad {
        Objects.requireNonNull(upstream);
    }
}
