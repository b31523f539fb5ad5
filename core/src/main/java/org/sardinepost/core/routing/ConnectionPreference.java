package org.sardinepost.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.sardinepost.core.membership.RendezvousHash;

/**
 * The preference of one call for upstreams to which its daemon has an idle connection, and else for a few upstreams that
 * are the same for each call of the daemon.
 *
 * <p>Among connected upstreams, the one whose connection has been idle the longest is preferred, which keeps as many
 * connections open as the calls of the daemon can renew. With one call a second, the most recently used of them would keep
 * about two open, and a call needs a new one whenever both upstreams are busy or slowed down.
 *
 * <p>Which upstreams are preferred without a connection depends on the daemon and the upstreams only, so that a new
 * coordinator, which does not know the connections, selects those that the daemon is connected to. Not thread-safe.
 */
final class ConnectionPreference {
    /** Opening a connection takes a millisecond of the upstream's time and is billed. */
    private static final double CONNECTION_COST = 0.3;

    /** Less than the saving for which a call waits for a probe. */
    private static final double OTHER_UPSTREAM_COST = 0.1;

    /** The largest saving for renewing a connection; also less than that for which a call waits for a probe. */
    private static final double RENEWAL_SAVING = 0.1;

    /** With this many connections, the probability that every upstream is busy or slowed down is a few percent. */
    private static final int MAX_PREFERRED = 8;

    private static final int MIN_PREFERRED = 2;

    private final DispatchRequest request;
    private final Collection<UpstreamState> states;
    private final double callsInWindow;
    private boolean prepared;
    private final List<Ranked> preferred = new ArrayList<>(MAX_PREFERRED + 1);
    private long leastInFlight;

    /**
     * Creates a preference.
     *
     * @param callsInWindow the number of calls of the daemon in the lifetime of an idle connection; 0 for no preference
     */
    ConnectionPreference(DispatchRequest request, Collection<UpstreamState> states, double callsInWindow) {
        this.request = request;
        this.states = states;
        this.callsInWindow = callsInWindow;
    }

    /** Returns whether the daemon calls so rarely that the preference matters. */
    boolean applies() {
        return callsInWindow > 0;
    }

    /**
     * Returns the cost of the connection that the call would use.
     *
     * @param estimatedInFlight the number of calls in progress on the upstream
     */
    double cost(UpstreamState state, double estimatedInFlight, SelectionContext context) {
        String daemon = request.origin().daemon();
        if (daemon.isEmpty()) {
            return 0;
        }
        boolean connected = state.idleConnections.hasIdle(daemon, context.nowNanos());
        if (!applies()) {
            return connected ? 0 : CONNECTION_COST;
        }
        prepare(context);
        if (Math.round(estimatedInFlight) > leastInFlight + 1) {
            return CONNECTION_COST + OTHER_UPSTREAM_COST;
        }
        if (connected) {
            return -RENEWAL_SAVING * state.idleConnections.idleFraction(daemon, context.nowNanos());
        }
        return CONNECTION_COST + (isPreferred(state) ? 0 : OTHER_UPSTREAM_COST);
    }

    private void prepare(SelectionContext context) {
        if (prepared) {
            return;
        }
        prepared = true;
        long daemonKey = RendezvousHash.keyOf(request.origin().daemon());
        int count = (int) Math.max(MIN_PREFERRED, Math.min(MAX_PREFERRED, Math.round(callsInWindow)));
        leastInFlight = Long.MAX_VALUE;
        for (UpstreamState state : states) {
            if (!CentralUpstreamSelector.mayReceiveCalls(state, request, context)
                    || context.cold().isCold(state.id(), context.nowNanos())) {
                continue;
            }
            if (!CentralUpstreamSelector.knownSlow(state, context)) {
                leastInFlight =
                        Math.min(leastInFlight, Math.round(CentralUpstreamSelector.estimatedInFlight(state, context)));
            }
            Ranked ranked = new Ranked(
                    state,
                    CentralUpstreamSelector.isRemote(state, request),
                    RendezvousHash.weight(state.rendezvousKey, daemonKey));
            if (preferred.size() < count || ranked.precedes(preferred.get(count - 1))) {
                insert(ranked, count);
            }
        }
    }

    /** Inserts an upstream in its order and removes what exceeds the count. */
    private void insert(Ranked ranked, int count) {
        int index = preferred.size();
        while (index > 0 && ranked.precedes(preferred.get(index - 1))) {
            index--;
        }
        preferred.add(index, ranked);
        if (preferred.size() > count) {
            preferred.remove(count);
        }
    }

    private boolean isPreferred(UpstreamState state) {
        for (Ranked ranked : preferred) {
            if (ranked.state() == state) {
                return true;
            }
        }
        return false;
    }

    private record Ranked(UpstreamState state, boolean remote, long weight) {
        boolean precedes(Ranked other) {
            return remote == other.remote ? Long.compareUnsigned(weight, other.weight) < 0 : !remote;
        }
    }
}
