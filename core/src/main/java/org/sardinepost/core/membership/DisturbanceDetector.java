package org.sardinepost.core.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Detects that the registry was away for so long that entries of live upstreams may have expired.
 *
 * <p>Evidence is that no daemon of the fleet got a response for the time in which the first entry can expire. Shorter
 * disturbances lose no entries: a read that timed out, a registry that refuses this daemon and serves others, or a
 * history that is no longer available to a daemon that has not read for long. Time in which this daemon was paused, or in
 * which it lost all its peers together with the registry, is no evidence either, because then only this daemon heard nothing.
 *
 * <p>Not thread-safe.
 */
public final class DisturbanceDetector {
    /** Upstreams renew their entries every 1.5 s, and an entry expires if three renewals in a row are missing. */
    static final Duration MIN_OUTAGE = Duration.ofSeconds(3);

    /** An older response contradicts no report that is still useful. */
    private static final Duration RESPONSE_RETENTION = Duration.ofSeconds(15);

    /** Covers the time from a response to the message that tells a peer of it. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(500);

    private final Deque<Long> recentResponses = new ArrayDeque<>();
    private long silentSinceNanos;
    private long lastTickNanos;
    private boolean isolated;
    private boolean isolatedAtLastResponse;
    private Optional<Long> lastDisturbedNanos = Optional.empty();

    public DisturbanceDetector(long nowNanos) {
        silentSinceNanos = nowNanos;
        lastTickNanos = nowNanos;
    }

    /**
     * Observes whether this daemon could have heard of a response; called on each control tick.
     *
     * @param isolatedNow whether this daemon had peers and has lost the connections to all of them
     */
    public void tick(boolean isolatedNow, long nowNanos) {
        boolean paused = nowNanos - lastTickNanos > TimeUnit.MILLISECONDS.toNanos(PauseDetector.MAX_GAP_MILLIS);
        // A daemon that is the last one of its fleet still hears of the registry by its own reads.
        boolean cutOff = isolatedNow && !isolatedAtLastResponse;
        if (cutOff || paused) {
            silentSinceNanos = nowNanos;
        }
        isolated = isolatedNow;
        lastTickNanos = nowNanos;
    }

    /**
     * Records a response of the registry to this daemon or to a peer.
     *
     * @return how long the registry was away before it; empty if that was too short for entries to expire
     */
    public Optional<Duration> responded(long respondedNanos) {
        long silentNanos = respondedNanos - silentSinceNanos;
        silentSinceNanos = Math.max(silentSinceNanos, respondedNanos);
        isolatedAtLastResponse = isolated;
        recentResponses.addLast(respondedNanos);
        while (respondedNanos - recentResponses.getFirst() > RESPONSE_RETENTION.toNanos()) {
            recentResponses.removeFirst();
        }
        if (silentNanos < MIN_OUTAGE.toNanos()) {
            return Optional.empty();
        }
        lastDisturbedNanos = Optional.of(respondedNanos);
        return Optional.of(Duration.ofNanos(silentNanos));
    }

    /**
     * Records a disturbance that a peer detected, unless this daemon heard of a response while it lasted: then only that
     * peer was cut off.
     *
     * @return whether the report is believed and newer than any disturbance that this daemon knew of
     */
    public boolean reportedByPeer(long disturbedNanos) {
        boolean known = lastDisturbedNanos
                .filter(previous -> previous - disturbedNanos >= 0)
                .isPresent();
        if (known || respondedBetween(disturbedNanos - MIN_OUTAGE.toNanos(), disturbedNanos - REPORT_DELAY.toNanos())) {
            return false;
        }
        lastDisturbedNanos = Optional.of(disturbedNanos);
        return true;
    }

    /** Returns the end of the last disturbance; empty if there was none. */
    public Optional<Long> lastDisturbedNanos() {
        return lastDisturbedNanos;
    }

    private boolean respondedBetween(long startNanos, long endNanos) {
        return recentResponses.stream().anyMatch(responded -> responded - startNanos > 0 && endNanos - responded > 0);
    }
}
