package org.sardinepost.core.routing;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

/** Counts placements by their use of idle connections. Not thread-safe. */
final class ConnectionUses {
    private final Map<ConnectionUse, Long> counts = new EnumMap<>(ConnectionUse.class);

    long count(ConnectionUse use) {
        return counts.getOrDefault(use, 0L);
    }

    /** Records a placement before its call is added to the upstream. Calls of unknown daemons are not counted. */
    void record(
            UpstreamState selected,
            Collection<UpstreamState> states,
            DispatchRequest request,
            SelectionContext context) {
        if (!request.origin().daemon().isEmpty()) {
            counts.merge(use(selected, states, request, context), 1L, Long::sum);
        }
    }

    private static ConnectionUse use(
            UpstreamState selected,
            Collection<UpstreamState> states,
            DispatchRequest request,
            SelectionContext context) {
        String daemon = request.origin().daemon();
        if (selected.idleConnections.hasIdle(daemon, context.nowNanos())) {
            return ConnectionUse.REUSED;
        }
        ConnectionUse use = ConnectionUse.NONE_IDLE;
        for (UpstreamState state : states) {
            if (state.idleConnections.hasIdle(daemon, context.nowNanos())) {
                ConnectionUse reason = reasonNotSelected(state, request, context);
                use = reason.compareTo(use) > 0 ? reason : use;
            }
        }
        return use;
    }

    private static ConnectionUse reasonNotSelected(
            UpstreamState connected, DispatchRequest request, SelectionContext context) {
        if (!CentralUpstreamSelector.isCandidate(connected, request, context)
                || request.excluded().contains(connected.id())
                || (connected.slots > 1
                        && CentralUpstreamSelector.wouldUseLastSlot(
                                connected, CentralUpstreamSelector.estimatedInFlight(connected, context)))) {
            return ConnectionUse.FULL;
        }
        if (CentralUpstreamSelector.knownSlow(connected, context)) {
            return ConnectionUse.SLOW;
        }
        if (context.probingEnabled() && CentralUpstreamSelector.slowdownUnknown(connected, context)) {
            return ConnectionUse.OUTDATED;
        }
        return CentralUpstreamSelector.isRemote(connected, request) ? ConnectionUse.FAR : ConnectionUse.COSTLIER;
    }
}
