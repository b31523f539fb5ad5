package org.sardinepost.core.routing;

/** What one dispatcher knows of one upstream. Guarded by the dispatcher's lock. */
final class UpstreamState {
    /** Some two round trips in a region. */
    private static final long ANSWER_LIMIT_NANOS = 8_000_000;

    private final Upstream upstream;
    private final boolean local;
    final LoadEstimate load = new LoadEstimate();
    final LogLatencyAverage latency = new LogLatencyAverage();
    final EjectionState health = new EjectionState();
    final HostSlowdown pace = new HostSlowdown();
    final IdleConnections connections = new IdleConnections();
    /** No further call until then, since the upstream has just refused one. */
    long blockedUntilNanos = Long.MIN_VALUE / 2;
    /** When its load was last asked for. */
    long askedNanos = Long.MIN_VALUE / 2;

    int slots;
    int inFlight;
    int failuresInARow;
    double failureShare;
    double slowness = 1;
    boolean leaving;
    boolean removed;
    /** Whether it has had a call. */
    boolean tried;

    UpstreamState(Upstream upstream, DispatcherSettings settings) {
        this.upstream = upstream;
        this.local = upstream.failureDomain().equals(settings.failureDomain());
        this.slots = settings.slots();
    }

    UpstreamId id() {
        return upstream.id();
    }

    Upstream upstream() {
        return upstream;
    }

    /** Whether the upstream is in this daemon's failure domain. */
    boolean local() {
        return local;
    }

    /** Whether the upstream may get new calls at all. */
    boolean usable() {
        return !leaving && !removed;
    }

    /** The calls that this daemon keeps on the upstream: its slots and a queue that hides the network delay. */
    int limit() {
        return slots + Math.max(1, slots / 2);
    }

    /** Whether it has been asked for its load and has not answered in time. */
    boolean silent(long nowNanos) {
        return askedNanos - pace.reportedNanos() > 0 && nowNanos - askedNanos >= ANSWER_LIMIT_NANOS;
    }

    boolean full() {
        return inFlight >= limit();
    }
}
