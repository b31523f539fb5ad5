package org.sardinepost.bench.policies;

import java.util.HashSet;
import java.util.Set;
import org.sardinepost.core.routing.UpstreamId;

/** State of one call of the trace. */
final class Call {
    final long arrivalNanos;
    final int daemonIndex;
    final long serviceTimeNanos;
    final Set<UpstreamId> excludedUpstreams = new HashSet<>();
    int attempts;

    Call(long arrivalNanos, int daemonIndex, long serviceTimeNanos) {
        this.arrivalNanos = arrivalNanos;
        this.daemonIndex = daemonIndex;
        this.serviceTimeNanos = serviceTimeNanos;
    }

    long deadlineNanos() {
        return arrivalNanos + Scenario.DEADLINE_NANOS;
    }
}
