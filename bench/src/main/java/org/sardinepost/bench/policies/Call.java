package org.sardinepost.bench.policies;

import java.util.HashSet;
import java.util.Set;
import org.sardinepost.core.routing.UpstreamId;

/** One call of the trace and its attempts so far. */
final class Call {
    final long arrivalNanos;
    final int daemon;
    final long serviceNanos;
    final Set<UpstreamId> excluded = new HashSet<>();
    int attempts;

    Call(long arrivalNanos, int daemon, long serviceNanos) {
        this.arrivalNanos = arrivalNanos;
        this.daemon = daemon;
        this.serviceNanos = serviceNanos;
    }

    long deadlineNanos() {
        return arrivalNanos + Scenario.DEADLINE_NANOS;
    }
}
