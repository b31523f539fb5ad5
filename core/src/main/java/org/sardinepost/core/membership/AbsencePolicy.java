package org.sardinepost.core.membership;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides when an upstream that is no longer in the VM list is removed.
 *
 * <p>A manually maintained list can be outdated, so an absent upstream is kept until a connection to it fails. A
 * registry removes the entry of an upstream that has left, so an absent upstream is removed after a hold time. Entries
 * can also expire while the registry is unavailable. Many absences at once that follow a disturbance of the registry are
 * therefore held until the upstreams have had time to register again.
 */
public final class AbsencePolicy {
    /** Upstreams register again within two seconds, and the list is read at least every 1.15 s. */
    private static final long REREGISTRATION_NANOS = Duration.ofMillis(3_150).toNanos();

    /** Fewer entries than this often disappear at once when upstreams are replaced. */
    private static final int MIN_SIMULTANEOUS_LOSSES = 3;

    /** A planned scale-down usually removes a smaller fraction of the upstreams at once. */
    private static final double MIN_LOST_FRACTION = 0.2;

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

    /**
     * Returns whether upstreams that disappear now may only have lost their entries in a disturbance, which loses many at
     * once.
     */
    boolean isDoubtful(int disappeared, int listedBefore, Optional<Long> disturbedNanos, long nowNanos) {
        boolean many = disappeared >= MIN_SIMULTANEOUS_LOSSES && disappeared > MIN_LOST_FRACTION * listedBefore;
        return many && wasDisturbed(disturbedNanos, nowNanos);
    }

    private static boolean wasDisturbed(Optional<Long> disturbedNanos, long nowNanos) {
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
        if (holdNanos.isEmpty() || (absence.doubtful() && wasDisturbed(disturbedNanos, nowNanos))) {
            return false;
        }
        return nowNanos - absence.sinceNanos() >= holdNanos.get();
    }
}
