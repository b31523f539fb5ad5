package org.sardinepost.core.routing;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Tracks the dispatches that a dispatcher granted and checks that each was allowed. */
final class DispatcherOracle {
    private final int maxInFlight;
    private final Map<UpstreamId, Set<Dispatch>> inFlight = new HashMap<>();
    private final Set<UpstreamId> leaving = new HashSet<>();
    private Set<UpstreamId> listed = Set.of();
    final List<AssertionError> violations = new ArrayList<>();
    final List<Dispatch> held = new ArrayList<>();
    final List<CompletableFuture<Dispatch>> futures = new ArrayList<>();

    DispatcherOracle(int maxInFlight) {
        this.maxInFlight = maxInFlight;
    }

    /**
     * Sets the listed upstreams. An upstream is no longer leaving once it is removed from the list; it may then be
     * added again as a new one.
     */
    void setListed(Set<UpstreamId> ids) {
        listed = ids;
        leaving.retainAll(ids);
        // Calls of a removed upstream no longer count: a new upstream at the same address starts at zero.
        inFlight.keySet().retainAll(ids);
    }

    void markLeaving(UpstreamId id) {
        if (listed.contains(id)) {
            leaving.add(id);
        }
    }

    int usable() {
        return (int) listed.stream().filter(id -> !leaving.contains(id)).count();
    }

    void track(CompletableFuture<Dispatch> future) {
        futures.add(future);
        var unused = future.thenAccept(this::granted).exceptionally(failure -> {
            // An assertion error thrown in a future's callback does not reach the test by itself.
            if (failure.getCause() instanceof AssertionError error) {
                violations.add(error);
            }
            return null;
        });
    }

    private void granted(Dispatch dispatch) {
        UpstreamId id = dispatch.upstream();
        assertWithMessage("listed").that(listed).contains(id);
        assertWithMessage("leaving").that(leaving).doesNotContain(id);
        Set<Dispatch> calls = inFlight.computeIfAbsent(id, key -> new HashSet<>());
        calls.add(dispatch);
        assertWithMessage("in flight on " + id).that(calls.size()).isAtMost(maxInFlight);
        held.add(dispatch);
    }

    void released(Dispatch dispatch) {
        inFlight.getOrDefault(dispatch.upstream(), new HashSet<>()).remove(dispatch);
    }
}
