package org.sardinepost.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/**
 * The upstreams of one service that turned this daemon away and asked, by {@code Retry-After}, for no calls for a time.
 *
 * <p>The time applies to this daemon only and ends early with the process that asked for it. Nothing shortens it
 * otherwise: an upstream that asks for a year gets no call of this daemon for a year. Other daemons keep using the
 * upstream until it turns them away too, which bounds what an upstream can withdraw that has capacity after all.
 *
 * <p>Thread-safe; the random generator must be thread-safe as well, or be used by this object alone.
 */
public final class ClosedUpstreams {
    /** Longer times are shortened to this one, which keeps arithmetic on them from overflowing. */
    private static final Duration MAX_DURATION = Duration.ofDays(365);

    /** The closures of several upstreams, or at several daemons, end at different times. */
    private static final long MAX_EXTENSION_DIVISOR = 10;

    private static final long MAX_EXTENSION_NANOS = Duration.ofMillis(500).toNanos();

    /** Callers that are refused at the same time return over this time. */
    private static final long RETURN_SPREAD_NANOS = Duration.ofMillis(500).toNanos();

    private final Map<UpstreamId, Closure> closures = new ConcurrentHashMap<>();
    private final RandomGenerator random;

    public ClosedUpstreams(RandomGenerator random) {
        this.random = random;
    }

    /** Records that a process asked for no calls; a process that asks again does not shorten the time. */
    public void record(UpstreamId upstream, Optional<String> instance, Duration retryAfter, long nowNanos) {
        Duration limited = retryAfter.compareTo(MAX_DURATION) > 0 ? MAX_DURATION : retryAfter;
        if (limited.isZero() || limited.isNegative()) {
            return;
        }
        long maxExtensionNanos = Math.min(MAX_EXTENSION_NANOS, limited.toNanos() / MAX_EXTENSION_DIVISOR);
        long extensionNanos = (long) (nextDouble() * maxExtensionNanos);
        Closure closure = new Closure(instance, nowNanos + limited.toNanos() + extensionNanos);
        closures.merge(
                upstream,
                closure,
                (previous, added) ->
                        previous.instance().equals(instance) && previous.untilNanos() - added.untilNanos() > 0
                                ? previous
                                : added);
    }

    /** Ends the closures of processes that another process at their address has replaced. */
    public void setUpstreams(List<Upstream> upstreams) {
        for (Upstream upstream : upstreams) {
            closures.computeIfPresent(
                    upstream.id(), (id, closure) -> closure.instance().equals(upstream.instance()) ? closure : null);
        }
    }

    /** Returns whether no closure is recorded; one that has ended may still be. */
    boolean isEmpty() {
        return closures.isEmpty();
    }

    public boolean isClosed(UpstreamId upstream, long nowNanos) {
        Closure closure = closures.get(upstream);
        return closure != null && closure.leftNanos(nowNanos) > 0;
    }

    /** Returns when each closed upstream accepts calls of this daemon again. */
    public Map<UpstreamId, Long> untilNanos(long nowNanos) {
        if (closures.isEmpty()) {
            return Map.of();
        }
        closures.values().removeIf(closure -> closure.leftNanos(nowNanos) <= 0);
        Map<UpstreamId, Long> untilNanos = new HashMap<>();
        closures.forEach((upstream, closure) -> untilNanos.put(upstream, closure.untilNanos()));
        return untilNanos;
    }

    /**
     * Returns the refusal of a call if every upstream is closed; empty if one is not.
     *
     * @param upstreams the upstreams that may receive calls
     */
    public Optional<RefusedException> refusalIfAllClosed(Collection<UpstreamId> upstreams, long nowNanos) {
        if (closures.isEmpty() || upstreams.isEmpty()) {
            return Optional.empty();
        }
        long firstNanos = Long.MAX_VALUE;
        for (UpstreamId upstream : upstreams) {
            Closure closure = closures.get(upstream);
            if (closure == null || closure.leftNanos(nowNanos) <= 0) {
                return Optional.empty();
            }
            firstNanos = Math.min(firstNanos, closure.leftNanos(nowNanos));
        }
        Duration delay = Duration.ofNanos(firstNanos + (long) (nextDouble() * RETURN_SPREAD_NANOS));
        return Optional.of(new RefusedException(
                        RefusalReason.UPSTREAM_REFUSED, "every upstream has asked for a time without calls")
                .withRetryAfter(delay));
    }

    private synchronized double nextDouble() {
        return random.nextDouble();
    }

    private record Closure(Optional<String> instance, long untilNanos) {
        Closure {
            Objects.requireNonNull(instance);
        }

        long leftNanos(long nowNanos) {
            return untilNanos - nowNanos;
        }
    }
}
