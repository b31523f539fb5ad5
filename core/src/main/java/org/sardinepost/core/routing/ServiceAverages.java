package org.sardinepost.core.routing;

/** Averages over the upstreams of one service, used as a baseline for single upstreams. Not thread-safe. */
final class ServiceAverages {
    private static final double SMOOTHING = 0.02;
    private static final double INITIAL_LATENCY_NANOS = 10_000_000;
    /** Half of the calls counted by an observation have ended after about this fraction of the mean latency. */
    private static final double DECAY_LATENCIES = 0.5;
    /**
     * Fraction of the peers' deviation from the mean that one daemon acts on. All daemons receive the same batches; if
     * each acted on the whole deviation, they would together overload the same idle upstream.
     */
    private static final double PEER_GAIN = 0.3;

    private double meanReportedInFlight;
    private double latencyNanos = INITIAL_LATENCY_NANOS;
    private boolean latencyKnown;
    private double peerWeight;
    private double meanPeerInFlight;

    void recordOtherInFlight(int otherInFlight) {
        meanReportedInFlight += SMOOTHING * (otherInFlight - meanReportedInFlight);
    }

    void recordLatency(long nanos) {
        latencyNanos = latencyKnown ? latencyNanos + SMOOTHING * (nanos - latencyNanos) : nanos;
        latencyKnown = true;
    }

    /** Sets the mean number of peer calls per upstream and their age; a negative age means that there are no peers. */
    void setPeerLoad(double inFlightPerUpstream, double ageNanos) {
        meanPeerInFlight = inFlightPerUpstream;
        peerWeight = ageNanos < 0 ? 0 : PEER_GAIN * Math.exp(-ageNanos / decayNanos());
    }

    /**
     * Returns the mean reported on responses, which counts the calls of all daemons; the mean of the peers if no
     * response reports a load.
     */
    double meanOtherInFlight() {
        return meanReportedInFlight > 0 ? meanReportedInFlight : meanPeerInFlight;
    }

    /** Returns the mean over the known peers only. */
    double meanPeerInFlight() {
        return meanPeerInFlight;
    }

    double peerWeight() {
        return peerWeight;
    }

    double decayNanos() {
        return DECAY_LATENCIES * latencyNanos;
    }

    long latencyNanos() {
        return (long) latencyNanos;
    }
}
