package org.sardinepost.core.membership;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.routing.UpstreamId;

/**
 * The observation that an upstream is leaving.
 *
 * @param signal what was observed
 * @param observedNanos when, on this daemon's monotonic clock; the age that a peer gives is already subtracted
 * @param peer the peer that observed it; empty for this daemon's own observation
 */
public record LeavingMark(LeavingSignal signal, long observedNanos, Optional<UpstreamId> peer) {
    public LeavingMark {
        Objects.requireNonNull(signal);
        Objects.requireNonNull(peer);
    }

    boolean expired(long nowNanos) {
        return ageMillis(nowNanos) >= signal.holdMillis();
    }

    long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - observedNanos);
    }

    long endNanos() {
        return observedNanos + TimeUnit.MILLISECONDS.toNanos(signal.holdMillis());
    }
}
