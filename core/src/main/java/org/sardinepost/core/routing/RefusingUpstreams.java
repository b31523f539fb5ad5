package org.sardinepost.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinepost.core.admission.DecayingCount;

/**
 * Closes upstreams of one service that refuse calls although the load that they report shows free slots.
 *
 * <p>A closed upstream gets only calls that no other can take in time. At least half of the slots of the service stay
 * open, so that calls still reach the upstreams if all of them refuse. A refusal that asks for a time without calls does
 * not count here: {@link ClosedUpstreams} honors it for the daemon that was refused.
 *
 * <p>The load that it is for: a seventh of the upstreams of a service, or all of them for some seconds, refuse half of
 * their calls at random. Each of those calls needs a second attempt, and the retry budget does not suffice for all. Not
 * thread-safe.
 */
final class RefusingUpstreams {
    private static final long COUNT_NANOS = Duration.ofSeconds(10).toNanos();

    /** After fewer refusals, {@code Retry-After} counts the capacity of closed upstreams too. */
    private static final double MIN_REFUSALS_TO_COUNT = 4.5;

    private final DecayingCount refusals = new DecayingCount(COUNT_NANOS);
    private final boolean enabled;
    private int closures;
    private long overflowed;

    RefusingUpstreams() {
        this(true);
    }

    /** Creates an object that closes no upstream if it is not enabled, for comparisons. */
    RefusingUpstreams(boolean enabled) {
        this.enabled = enabled;
    }

    /** Returns whether a result is a refusal of an upstream that has capacity and asks for no time without calls. */
    boolean isUnexplained(DispatchResult result) {
        return enabled
                && result.kind() == DispatchResult.Kind.REFUSED
                && !result.leaving()
                && !asksForTimeWithoutCalls(result)
                && result.load().map(load -> load.inFlight() < load.slots()).orElse(false);
    }

    /** Returns whether a result is a refusal that {@link ClosedUpstreams} honors. */
    static boolean asksForTimeWithoutCalls(DispatchResult result) {
        return result.kind() == DispatchResult.Kind.REFUSED
                && result.retryAfter()
                        .filter(delay -> delay.compareTo(Duration.ZERO) > 0)
                        .isPresent();
    }

    /** Records how a call ended, and closes its upstream if that leaves enough others. */
    void record(
            UpstreamState state,
            DispatchResult result,
            Collection<UpstreamState> states,
            ColdUpstreams cold,
            long nowNanos) {
        if (!enabled) {
            return;
        }
        if (result.kind() == DispatchResult.Kind.ANSWERED) {
            state.refusals.recordResponse(nowNanos);
        }
        if (asksForTimeWithoutCalls(result)) {
            state.refusals.recordOtherRefusal();
        }
        // An upstream that has just started limits its calls, whatever slots it reports.
        if (!isUnexplained(result) || cold.isCold(state.id(), nowNanos)) {
            return;
        }
        refusals.increment(nowNanos);
        state.refusals.recordRefusal(nowNanos);
        if (!state.refusals.isClosed(nowNanos)
                && state.refusals.refusesOften(nowNanos)
                && mayClose(state, states, cold, nowNanos)) {
            state.refusals.close(nowNanos);
            closures++;
        }
    }

    private static boolean mayClose(
            UpstreamState state, Collection<UpstreamState> states, ColdUpstreams cold, long nowNanos) {
        return !state.ejection.ejected()
                && 2 * (openSlots(states, cold, nowNanos) - state.slots) >= usableSlots(states);
    }

    /** Opens upstreams while less than half of the slots are open, as after an ejection or a removal. */
    void keepHalfOpen(Collection<UpstreamState> states, ColdUpstreams cold, long nowNanos) {
        if (closures == 0) {
            return;
        }
        int missing = usableSlots(states) - 2 * openSlots(states, cold, nowNanos);
        closures = 0;
        for (UpstreamState state : states) {
            if (state.refusals.isClosed(nowNanos)) {
                if (missing > 0 && !state.ejection.ejected()) {
                    state.refusals.open(nowNanos);
                    missing -= 2 * state.slots;
                } else {
                    closures++;
                }
            }
        }
    }

    private static int usableSlots(Collection<UpstreamState> states) {
        return states.stream()
                .filter(UpstreamState::usable)
                .mapToInt(state -> state.slots)
                .sum();
    }

    private static int openSlots(Collection<UpstreamState> states, ColdUpstreams cold, long nowNanos) {
        return states.stream()
                .filter(state -> state.usable()
                        && !state.ejection.ejected()
                        && !state.refusals.isClosed(nowNanos)
                        && !cold.isCold(state.id(), nowNanos))
                .mapToInt(state -> state.slots)
                .sum();
    }

    /** Returns whether no upstream is closed, the usual state. */
    boolean isEmpty() {
        return closures == 0;
    }

    boolean isClosed(UpstreamState state, long nowNanos) {
        return closures > 0 && state.refusals.isClosed(nowNanos);
    }

    /** Returns the upstreams that are not closed. */
    Collection<UpstreamState> open(Collection<UpstreamState> states, long nowNanos) {
        return closures == 0
                ? states
                : states.stream()
                        .filter(state -> !state.refusals.isClosed(nowNanos))
                        .toList();
    }

    /** Returns the upstreams whose capacity counts for {@code Retry-After}. */
    Collection<UpstreamState> withCapacity(Collection<UpstreamState> states, long nowNanos) {
        return refusals.value(nowNanos) < MIN_REFUSALS_TO_COUNT ? states : open(states, nowNanos);
    }

    /** Records that a call is sent to an upstream. */
    void recordDispatch(UpstreamState state, long nowNanos) {
        if (isClosed(state, nowNanos)) {
            overflowed++;
        }
    }

    /** Returns the number of calls sent to closed upstreams. */
    long overflowed() {
        return overflowed;
    }

    /** Returns the upstreams that are closed, or were until recently. */
    Set<UpstreamId> suspected(Collection<UpstreamState> states, long nowNanos) {
        return states.stream()
                .filter(state -> state.usable() && state.refusals.isSuspected(nowNanos))
                .map(UpstreamState::id)
                .collect(Collectors.toUnmodifiableSet());
    }
}
