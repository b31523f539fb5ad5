package org.sardinepost.core.membership;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides when an upstream that is no longer in the VM list is removed.
 *
 * <p>A manually maintained list can be outdated, so an absent upstream is kept until a connection to it fails. A
 * registry removes the entry of an upstream that has left, so an absent upstream is removed after a hold time, however
 * many are absent. Entries can also expire while the registry is unavailable. The absences that follow a disturbance of
 * the registry are therefore held until the upstreams have had time to register again.
 */
public final class AbsencePolicy {
    /** Upstreams register again within two seconds, and the list is read at least every 1.15 s. */
    private static final long REREGISTRATION_NANOS = Duration.ofMillis(3_150).toNanos();

    private final Optional<Long> holdNanos;

    private AbsencePolicy(Optional<Long> holdNanos) {
        this.holdNanos = holdNanos;
    }

    /** Keeps an absent upstream until a connection to it fails. */
    public static AbsencePolicy untilConnectionFails() {
        return new AbsencePolicy(Optional.empty());
    }

    /** Removes an absent upstream after this time. */
    public static AbsencePolicy removeAfter(Duration hold) {
        return new AbsencePolicy(Optional.of(hold.toNanos()));
    }

    /** Returns whether an upstream that disappears now may only have lost its entry in a disturbance. */
    boolean isDoubtful(Optional<Long> disturbedNanos, long nowNanos) {
        return disturbedNanos
                .filter(disturbed -> nowNanos - disturbed < REREGISTRATION_NANOS)
                .isPresent();
    }

    /**
     * Returns whether an upstream is removed now.
     *
     * @param disturbedNanos the time of the last known disturbance of the registry; empty if there was none
     */
    boolean shouldRemove(Absence absence, Optional<Long> disturbedNanos, long nowNanos) {
        if (holdNanos.isEmpty() || (absence.doubtful() && isDoubtful(disturbedNanos, nowNanos))) {
            return false;
        }
        return nowNanos - absence.sinceNanos() >= holdNanos.get();
    }
}
