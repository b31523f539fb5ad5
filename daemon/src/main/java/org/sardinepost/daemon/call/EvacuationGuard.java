package org.sardinepost.daemon.call;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.membership.Evacuation;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Keeps requests away from the upstreams of evacuated failure domains, whoever placed them, and refuses the calls of
 * services that have no other upstreams.
 *
 * <p>Thread-safe; the control thread updates it.
 */
public final class EvacuationGuard {
    /** A caller waits at most a third of its time, so with the spread this stays below 0.8 s for a deadline of 2.4 s. */
    private static final long MIN_RETRY_AFTER_MILLIS = 300;

    /** Callers that are refused at the same time return over this time. */
    private static final long RETRY_SPREAD_MILLIS = 400;

    private final Set<WaitingCall> waiting = ConcurrentHashMap.newKeySet();
    private final AtomicLong rejectedDispatches = new AtomicLong();
    private volatile State state = new State(Evacuation.none(), Set.of());

    /**
     * Applies only what the current state and the new one have in common.
     *
     * <p>The dispatchers are updated between this call and {@link #apply}. Otherwise, one that is not updated yet could
     * offer an upstream that is rejected here.
     */
    void applyCommonPart(Evacuation next, Set<String> nextUnserved) {
        State current = state;
        Set<String> unserved = new HashSet<>(current.unservedServices());
        unserved.retainAll(nextUnserved);
        state = new State(current.evacuation().retaining(next), Set.copyOf(unserved));
    }

    /**
     * Applies an evacuation and cancels the calls that wait for an upstream of a service that has none left.
     *
     * @param unserved the services whose upstreams are all in evacuated domains
     */
    void apply(Evacuation next, Set<String> unserved) {
        state = new State(next, Set.copyOf(unserved));
        waiting.stream().filter(call -> unserved.contains(call.service)).forEach(call -> call.stage.cancel(false));
    }

    /** Returns whether a request may be sent to the upstream, and counts the dispatch as rejected if not. */
    boolean permits(UpstreamId upstream) {
        if (!state.evacuation().holdsBack(upstream)) {
            return true;
        }
        rejectedDispatches.incrementAndGet();
        return false;
    }

    /** Returns the refusal of a call to a service whose upstreams are all in evacuated domains; empty if one is not. */
    Optional<RefusedException> refusal(String service) {
        State current = state;
        return current.unservedServices().contains(service)
                ? Optional.of(refusal(current.evacuation()))
                : Optional.empty();
    }

    /** Returns the refusal of a call that got only placements on evacuated upstreams. */
    RefusedException refusal() {
        return refusal(state.evacuation());
    }

    /** Cancels the stage, which waits for an upstream of the service, once all of them are in evacuated domains. */
    CompletableFuture<Dispatch> cancelWhenUnserved(String service, CompletableFuture<Dispatch> stage) {
        if (stage.isDone()) {
            return stage;
        }
        WaitingCall call = new WaitingCall(service, stage);
        waiting.add(call);
        var unused = stage.whenComplete((dispatch, failure) -> waiting.remove(call));
        if (state.unservedServices().contains(service)) {
            stage.cancel(false);
        }
        return stage;
    }

    /** Returns the evacuation that is in effect. */
    public Evacuation evacuation() {
        return state.evacuation();
    }

    /** Returns the number of calls that wait for an upstream. */
    public int waitingCalls() {
        return waiting.size();
    }

    /** Returns the line for the status page: the evacuated domains and the number of upstreams held back. */
    public String statusLine() {
        Evacuation current = evacuation();
        String value = current.domains().isEmpty()
                ? "none"
                : String.join(", ", current.domains()) + "; upstreams held back: "
                        + current.upstreams().size();
        return "failure-domains-evacuated: " + value;
    }

    /** Returns the number of placements since the start that were not used because the domain was evacuated. */
    public long rejectedDispatches() {
        return rejectedDispatches.get();
    }

    private static RefusedException refusal(Evacuation evacuation) {
        long delayMillis = MIN_RETRY_AFTER_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_SPREAD_MILLIS);
        return new RefusedException(
                        RefusalReason.EVACUATED,
                        "every upstream of the service is in an evacuated failure domain ("
                                + String.join(", ", evacuation.domains()) + ")")
                .withRetryAfter(Duration.ofMillis(delayMillis));
    }

    /** A call that waits for an upstream; compared by identity. */
    private static final class WaitingCall {
        private final String service;
        private final CompletableFuture<Dispatch> stage;

        WaitingCall(String service, CompletableFuture<Dispatch> stage) {
            this.service = service;
            this.stage = stage;
        }
    }

    private record State(Evacuation evacuation, Set<String> unservedServices) {}
}
