package org.sardinepost.core.routing;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Counts what a dispatcher granted and what it must not grant. */
final class DispatcherOracle {
    private final int limit;
    private final Map<UpstreamId, Set<Dispatch>> inFlight = new HashMap<>();
    private final Set<UpstreamId> leaving = new HashSet<>();
    private Set<UpstreamId> listed = Set.of();
    final List<AssertionError> violations = new ArrayList<>();
    final List<Dispatch> held = new ArrayList<>();
    final List<CompletableFuture<Dispatch>> futures = new ArrayList<>();

    DispatcherOracle(int limit) {
        this.limit = limit;
    }

    /** A leaving mark ends when the upstream is removed from the list; it may then return as a new one. */
    void list(Set<UpstreamId> ids) {
        listed = ids;
        leaving.retainAll(ids);
        // Calls of a removed upstream no longer count: a new one at its address starts at zero.
        inFlight.keySet().retainAll(ids);
    }

    void leave(UpstreamId id) {
        if (listed.contains(id)) {
            leaving.add(id);
        }
    }

    int usable() {
        return (int) listed.stream().filter(id -> !leaving.contains(id)).count();
    }

    void watch(CompletableFuture<Dispatch> future) {
        futures.add(future);
        var unused = future.thenAccept(this::granted).exceptionally(failure -> {
            // An assertion that fails inside a future reaches no test by itself.
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
        assertWithMessage("in flight on " + id).that(calls.size()).isAtMost(limit);
        held.add(dispatch);
    }

    void released(Dispatch dispatch) {
        inFlight.getOrDefault(dispatch.upstream(), new HashSet<>()).remove(dispatch);
    }
}
