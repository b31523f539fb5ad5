package org.sardinepost.core.membership;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Records an observation that an upstream is leaving.
 *
 * @param signal how the observation was made
 * @param instance the process that said that it is leaving; empty if the mark applies to any process at the address
 * @param observedNanos time of the observation on this daemon's monotonic clock; for a peer's observation, the reported
 *     age is already subtracted
 * @param peer the peer that reported the observation; empty if this daemon made it
 */
public record LeavingMark(
        LeavingSignal signal, Optional<String> instance, long observedNanos, Optional<UpstreamId> peer) {
    public LeavingMark {
        Objects.requireNonNull(signal);
        Objects.requireNonNull(instance);
        Objects.requireNonNull(peer);
    }

    boolean expired(long nowNanos) {
        return ageMillis(nowNanos) >= signal.markLifetimeMillis();
    }

    long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - observedNanos);
    }

    long expiresAtNanos() {
        return observedNanos + TimeUnit.MILLISECONDS.toNanos(signal.markLifetimeMillis());
    }
}
