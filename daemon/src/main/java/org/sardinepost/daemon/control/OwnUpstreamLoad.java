package org.sardinepost.daemon.control;

/** This daemon's calls in progress and recent failures on one upstream. */
public record OwnUpstreamLoad(int inFlight, int recentFailures) {
    static final OwnUpstreamLoad NONE = new OwnUpstreamLoad(0, 0);
}
