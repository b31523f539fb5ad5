package org.sardinepost.core.routing;

import java.util.Map;
import org.sardinepost.core.membership.RendezvousHash;

/** The state that one dispatcher keeps for one upstream. Guarded by the dispatcher's lock. */
final class UpstreamState {
    private final Upstream upstream;
    private final boolean local;
    /** The key of the address for the rendezvous order of a daemon's upstreams. */
    final long rendezvousKey;

    final LoadEstimate load = new LoadEstimate();
    final LogLatencyAverage latency = new LogLatencyAverage();
    final EjectionState ejection = new EjectionState();
    final RefusalRecord refusals = new RefusalRecord();
    final HostSlowdown hostSlowdown = new HostSlowdown();
    final IdleConnections idleConnections = new IdleConnections();
    /** No calls are dispatched until this time because the upstream recently refused one. */
    long backoffUntilNanos = Long.MIN_VALUE / 2;

    final ProbeTiming probeTiming = new ProbeTiming();

    int slots;
    int inFlight;
    int consecutiveFailures;
    double failureRate;
    double latencyRatio = 1;
    boolean leaving;
    boolean removed;
    /** Whether any call has been dispatched to the upstream. */
    boolean hasReceivedCall;

    UpstreamState(Upstream upstream, DispatcherSettings settings) {
        this.upstream = upstream;
        this.rendezvousKey = RendezvousHash.keyOf(upstream.id().toString());
        this.local = upstream.failureDomain().equals(settings.failureDomain());
        this.slots = settings.slots();
    }

    UpstreamId id() {
        return upstream.id();
    }

    Upstream upstream() {
        return upstream;
    }

    /**
     * Returns the current state of the process to which a call was sent, which differs from this one if the upstream was
     * removed and added again; null if another process or none is at its address now.
     */
    UpstreamState sameProcessIn(Map<UpstreamId, UpstreamState> states) {
        UpstreamState current = states.get(id());
        return current != null && current.upstream.instance().equals(upstream.instance()) ? current : null;
    }

    /** Returns whether the upstream is in this daemon's failure domain. */
    boolean local() {
        return local;
    }

    /** Returns whether the upstream may receive new calls at all. */
    boolean usable() {
        return !leaving && !removed;
    }

    /**
     * Returns the maximum number of calls from this daemon: the upstream's slots and a queue that hides the network
     * latency.
     */
    int maxInFlight() {
        return slots + Math.max(1, slots / 2);
    }

    /** Returns whether the last probe got no response in time. */
    boolean probeTimedOut(long nowNanos) {
        return probeTiming.timedOut(hostSlowdown.reportedNanos(), nowNanos);
    }

    boolean full() {
        return inFlight >= maxInFlight();
    }
}
