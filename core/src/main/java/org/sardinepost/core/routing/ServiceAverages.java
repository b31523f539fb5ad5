package org.sardinepost.core.routing;

/** Averages over the upstreams of one service, against which a single upstream is judged. Not thread-safe. */
final class ServiceAverages {
    private static final double SMOOTHING = 0.02;
    private static final double INITIAL_LATENCY_NANOS = 10_000_000;
    /** Half the calls that an observation counted have ended after about this share of the mean latency. */
    private static final double RELAXATION_LATENCIES = 0.5;
    /**
     * Share of the peers' deviation from the mean that one daemon acts on. All daemons get the same batches; if each acted
     * on all of it, they would overload the same idle upstream together.
     */
    private static final double PEER_GAIN = 0.3;

    private double meanReported;
    private double latencyNanos = INITIAL_LATENCY_NANOS;
    private boolean latencyKnown;
    private double peerWeight;
    private double peerMean;

    void observeOthers(int others) {
        meanReported += SMOOTHING * (others - meanReported);
    }

    void observeLatency(long nanos) {
        latencyNanos = latencyKnown ? latencyNanos + SMOOTHING * (nanos - latencyNanos) : nanos;
        latencyKnown = true;
    }

    /** Sets the calls of peers per upstream and their age; a negative age means that no peer is heard. */
    void setPeers(double callsPerUpstream, double ageNanos) {
        peerMean = callsPerUpstream;
        peerWeight = ageNanos < 0 ? 0 : PEER_GAIN * Math.exp(-ageNanos / relaxationNanos());
    }

    /** The mean that answers reported, which counts all daemons; that of the peers if no answer reports its load. */
    double meanOthers() {
        return meanReported > 0 ? meanReported : peerMean;
    }

    /** The mean over the heard peers only. */
    double peerMean() {
        return peerMean;
    }

    double peerWeight() {
        return peerWeight;
    }

    double relaxationNanos() {
        return RELAXATION_LATENCIES * latencyNanos;
    }

    long latencyNanos() {
        return (long) latencyNanos;
    }
}
