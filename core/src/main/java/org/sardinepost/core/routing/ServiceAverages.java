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

    /** The calls counted by older reports have ended; whether others are in progress is unknown. */
    private static final long MAX_REPORT_AGE_NANOS = 500_000_000;

    private double meanReportedInFlight;
    private long reportedNanos;
    private double latencyNanos = INITIAL_LATENCY_NANOS;
    private boolean latencyKnown;
    private double peerWeight;
    private double meanPeerInFlight;

    void recordOtherInFlight(int otherInFlight, long nowNanos) {
        meanReportedInFlight = reportsAreRecent(nowNanos)
                ? meanReportedInFlight + SMOOTHING * (otherInFlight - meanReportedInFlight)
                : otherInFlight;
        reportedNanos = nowNanos;
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
     * Returns the mean reported on responses, which counts the calls of all daemons; the mean of the peers if no recent
     * response reports a load. Without this limit, upstreams that look full would get no call whose response shows that
     * they are idle.
     */
    double meanOtherInFlight(long nowNanos) {
        return reportsAreRecent(nowNanos) && meanReportedInFlight > 0 ? meanReportedInFlight : meanPeerInFlight;
    }

    private boolean reportsAreRecent(long nowNanos) {
        return nowNanos - reportedNanos <= MAX_REPORT_AGE_NANOS;
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
