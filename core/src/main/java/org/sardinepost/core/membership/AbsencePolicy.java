package org.sardinepost.core.membership;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides when an upstream that is no longer in the VM list is removed.
 *
 * <p>A manually maintained list can be outdated, so an absent upstream is kept until a connection to it fails. A
 * registry removes the entry of an upstream that has left, so an absent upstream is removed after a hold time. If many
 * entries disappear at once, the registry has more likely lost them than all upstreams have stopped; the hold time is
 * then extended to allow them to register again.
 */
public final class AbsencePolicy {
    /** Fewer entries than this often disappear at once when upstreams are replaced. */
    private static final int MIN_SIMULTANEOUS_LOSSES = 3;

    /** A planned scale-down usually removes a smaller fraction of the upstreams at once. */
    private static final double MIN_LOST_FRACTION = 0.2;

    /** Upstreams renew their registration every one to two seconds, and the list is read once a second. */
    private static final long REREGISTRATION_NANOS = Duration.ofMillis(3_500).toNanos();

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

    boolean shouldRemove(Absence absence, long nowNanos) {
        if (holdNanos.isEmpty()) {
            return false;
        }
        long hold = isLikelyRegistryLoss(absence) ? Math.max(holdNanos.get(), REREGISTRATION_NANOS) : holdNanos.get();
        return nowNanos - absence.sinceNanos() >= hold;
    }

    private static boolean isLikelyRegistryLoss(Absence absence) {
        return absence.simultaneous() >= MIN_SIMULTANEOUS_LOSSES
                && absence.simultaneous() > MIN_LOST_FRACTION * absence.previouslyListed();
    }
}
