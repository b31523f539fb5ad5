package org.sardinepost.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Records when each upstream that an evacuation held back could get requests again.
 *
 * <p>An upstream that was lost or leaving when its domain was returned to service comes back when it is usable again,
 * which may be later. One that is still missing from the list comes back a second time when it is listed again, because
 * it may have been restarted meanwhile. Not thread-safe.
 */
final class UpstreamReturns {
    private final Set<UpstreamId> awaitingReturn = new HashSet<>();
    private final Map<UpstreamId, Long> returnedNanos = new HashMap<>();

    /** Returns whether an upstream that an evacuation held back has not returned yet. */
    boolean awaited() {
        return !awaitingReturn.isEmpty();
    }

    /** Records that an evacuation holds an upstream back. */
    void heldBack(UpstreamId upstream) {
        awaitingReturn.add(upstream);
        returnedNanos.remove(upstream);
    }

    /** Records that an upstream may get requests, which is a return if an evacuation held it back before. */
    void usable(UpstreamId upstream, ListedState state, long nowNanos) {
        if (!awaitingReturn.contains(upstream)) {
            return;
        }
        if (state != ListedState.ABSENT) {
            awaitingReturn.remove(upstream);
            returnedNanos.put(upstream, nowNanos);
        } else {
            returnedNanos.putIfAbsent(upstream, nowNanos);
        }
    }

    /** Records that an upstream has stopped as announced, so that a later one at its address is another process. */
    void left(UpstreamId upstream) {
        awaitingReturn.remove(upstream);
        returnedNanos.remove(upstream);
    }

    /** Records that an upstream was lost, and may come back as it was. */
    void lost(UpstreamId upstream) {
        returnedNanos.remove(upstream);
    }

    Map<UpstreamId, Long> returnedNanos() {
        return Map.copyOf(returnedNanos);
    }
}
