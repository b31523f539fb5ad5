package org.sardinepost.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import org.sardinepost.core.admission.RetryAfterSchedule;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/**
 * The cold upstreams of one service, and how many calls this daemon may send them.
 *
 * <p>An upstream that has just started accepts a few calls a second and crashes well above that. This daemon paces each
 * cold upstream with a {@link TokenBucket} while it is permitted to, and sends cold upstreams nothing otherwise. Every
 * dispatch takes a token, also retries and trial calls, and tokens of cancelled dispatches are not returned, because the
 * call may have been sent.
 *
 * <p>The load that it is for: a failure domain of cold upstreams returns while callers retry and daemons are paused, cut
 * off or restarted. Without a warm-up rate, no upstream is cold. Not thread-safe.
 */
final class ColdUpstreams {
    private static final double SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final LongPredicate mayPlace;
    private final RetryAfterSchedule retryAfterSchedule = new RetryAfterSchedule();
    private final Map<UpstreamId, TokenBucket> buckets = new HashMap<>();
    private final Map<UpstreamId, Long> reportedUntilNanos = new HashMap<>();
    private Optional<ColdRate> rate = Optional.empty();
    private Map<UpstreamId, Long> listedUntilNanos = Map.of();
    private long lastUntilNanos;
    private long paced;

    /**
     * Creates a set without cold upstreams.
     *
     * @param mayPlace returns whether this daemon may send calls to cold upstreams at a time
     */
    ColdUpstreams(LongPredicate mayPlace) {
        this.mayPlace = mayPlace;
    }

    /** Sets the rate of the service; empty if its upstreams are never cold. */
    void setRate(Optional<ColdRate> value) {
        rate = value;
        if (value.isEmpty()) {
            buckets.clear();
            reportedUntilNanos.clear();
            listedUntilNanos = Map.of();
        }
    }

    /** Returns whether the upstreams of the service can be cold. */
    boolean enabled() {
        return rate.isPresent();
    }

    /** Replaces what the membership knows. A change for an upstream overrides what the upstream reported before. */
    void setListed(Map<UpstreamId, Long> coldUntilNanos, long nowNanos) {
        if (rate.isEmpty()) {
            return;
        }
        Map<UpstreamId, Long> before = listedUntilNanos;
        listedUntilNanos = Map.copyOf(coldUntilNanos);
        listedUntilNanos.forEach((upstream, untilNanos) -> {
            if (!untilNanos.equals(before.get(upstream))) {
                reportedUntilNanos.remove(upstream);
            }
        });
        reportedUntilNanos
                .entrySet()
                .removeIf(entry -> entry.getValue() - nowNanos <= 0 && !listedUntilNanos.containsKey(entry.getKey()));
        buckets.entrySet()
                .removeIf(entry ->
                        !isCold(entry.getKey(), nowNanos) && entry.getValue().idle(nowNanos));
        updateLast(nowNanos);
    }

    /**
     * Records the remaining cold time in a health response, zero if the upstream is warm. It overrides what the membership
     * knows in both directions.
     */
    void recordReport(UpstreamId upstream, Duration remaining, long nowNanos) {
        boolean known = listedUntilNanos.containsKey(upstream) || reportedUntilNanos.containsKey(upstream);
        if (rate.isEmpty() || (remaining.isZero() && !known)) {
            return;
        }
        reportedUntilNanos.put(upstream, nowNanos + remaining.toNanos());
        updateLast(nowNanos);
    }

    /** Discards what a process reported that another one has replaced at its address. */
    void discardReport(UpstreamId upstream) {
        reportedUntilNanos.remove(upstream);
    }

    private void updateLast(long nowNanos) {
        lastUntilNanos = nowNanos;
        reportedUntilNanos.values().forEach(this::extendLast);
        listedUntilNanos.values().forEach(this::extendLast);
    }

    private void extendLast(long untilNanos) {
        if (untilNanos - lastUntilNanos > 0) {
            lastUntilNanos = untilNanos;
        }
    }

    /** Returns whether no upstream can be cold, the usual state. */
    boolean isEmpty(long nowNanos) {
        return (listedUntilNanos.isEmpty() && reportedUntilNanos.isEmpty()) || lastUntilNanos - nowNanos <= 0;
    }

    boolean isCold(UpstreamId upstream, long nowNanos) {
        if (isEmpty(nowNanos)) {
            return false;
        }
        Long untilNanos = reportedUntilNanos.getOrDefault(upstream, listedUntilNanos.get(upstream));
        return untilNanos != null && untilNanos - nowNanos > 0;
    }

    /** Returns how many of the upstreams are cold. */
    int count(Collection<UpstreamId> upstreams, long nowNanos) {
        return (int) upstreams.stream().filter(id -> isCold(id, nowNanos)).count();
    }

    /** Returns whether a call may be sent to the upstream now: it is warm, or a token is available. */
    boolean mayReceiveCall(UpstreamId upstream, long nowNanos) {
        return !isCold(upstream, nowNanos) || available(upstream, nowNanos) > 0;
    }

    /** Returns the number of calls that may be sent to a cold upstream at once. */
    int available(UpstreamId upstream, long nowNanos) {
        boolean permitted = mayPlace.test(nowNanos);
        ColdRate coldRate = rate.orElseThrow();
        // While another daemon is to do the pacing, a bucket keeps one token at most, so that a daemon that takes over
        // repeatedly does not add a burst each time.
        double capacity = permitted ? coldRate.burst() : Math.min(1, coldRate.burst());
        TokenBucket bucket = buckets.computeIfAbsent(upstream, id -> new TokenBucket(capacity, nowNanos));
        bucket.update(capacity, coldRate.refillPerSecond(), nowNanos);
        return permitted ? bucket.available() : 0;
    }

    /** Returns the number of free slots of an upstream, limited to the available tokens if it is cold. */
    int limitedToTokens(UpstreamId upstream, int freeSlots, long nowNanos) {
        return isCold(upstream, nowNanos) ? Math.min(freeSlots, available(upstream, nowNanos)) : freeSlots;
    }

    /** Records that a call is sent to an upstream, for which {@link #mayReceiveCall} was true. */
    void recordDispatch(UpstreamId upstream, long nowNanos) {
        if (isCold(upstream, nowNanos)) {
            buckets.get(upstream).take(nowNanos);
            paced++;
        }
    }

    /** Returns the number of calls sent to cold upstreams. */
    long paced() {
        return paced;
    }

    /** Returns whether every upstream that may receive calls is cold; false if there is none. */
    boolean allCold(Collection<UpstreamState> states, long nowNanos) {
        if (isEmpty(nowNanos)) {
            return false;
        }
        boolean found = false;
        for (UpstreamState state : states) {
            if (state.usable() && !state.ejection.ejected()) {
                if (!isCold(state.id(), nowNanos)) {
                    return false;
                }
                found = true;
            }
        }
        return found;
    }

    /** Returns the refusal of a call if only cold upstreams are left and this daemon may not send them calls. */
    Optional<RefusedException> refusalIfUnavailable(Collection<UpstreamState> states, long nowNanos) {
        if (!allCold(states, nowNanos) || permitted(nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(new RefusedException(
                        RefusalReason.UPSTREAMS_COLD, "only cold upstreams are left, which another daemon paces")
                .withRetryAfter(retryAfterSchedule.nextDelay(
                        0, callIntervalNanos() / states.size(), Long.MAX_VALUE, nowNanos)));
    }

    private boolean permitted(long nowNanos) {
        return mayPlace.test(nowNanos) && refillPerSecond() > 0;
    }

    /**
     * Returns the typical time between two completions while all capacity is in use. A cold upstream counts with the slots
     * that are in use at its rate.
     *
     * @param meanServiceNanos the mean service time; 0 while it is unknown
     */
    long completionIntervalNanos(Collection<UpstreamState> states, long meanServiceNanos, long nowNanos) {
        boolean permitted = permitted(nowNanos);
        double slotsAtRate = refillPerSecond() * meanServiceNanos / SECOND_NANOS;
        double slots = 0;
        int cold = 0;
        for (UpstreamState state : states) {
            if (!state.usable() || state.ejection.ejected()) {
                continue;
            }
            int warmSlots = Math.max(1, state.slots - 1);
            if (isCold(state.id(), nowNanos)) {
                cold++;
                slots += permitted ? Math.min(warmSlots, slotsAtRate) : 0;
            } else {
                slots += warmSlots;
            }
        }
        return slots == 0 ? callIntervalNanos() / Math.max(1, cold) : (long) (meanServiceNanos / slots);
    }

    /** Returns the time between two calls to a cold upstream in the long run. */
    private long callIntervalNanos() {
        double perSecond =
                refillPerSecond() > 0 ? refillPerSecond() : rate.orElseThrow().perSecond();
        return (long) (SECOND_NANOS / perSecond);
    }

    private double refillPerSecond() {
        return rate.map(ColdRate::refillPerSecond).orElse(0.0);
    }
}
