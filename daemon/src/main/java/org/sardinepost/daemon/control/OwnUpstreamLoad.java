package org.sardinepost.daemon.control;

/** The calls in progress and the recent failures of this daemon on one upstream. */
public record OwnUpstreamLoad(int inFlight, int recentFailures) {
    static final OwnUpstreamLoad NONE = new OwnUpstreamLoad(0, 0);
}
