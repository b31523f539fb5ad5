package org.sardinepost.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.sardinepost.core.admission.DecayingCount;

/**
 * Creates the connection preferences of calls from the call rates of the daemons.
 *
 * <p>The load that this is for: a large fleet under light load. A daemon that sends a call every second or two, each to
 * another upstream, finds most of its idle connections closed. Daemons that send more calls within the lifetime of an idle
 * connection than there are upstreams get no preference, because they keep connections to all of them. Not thread-safe.
 */
class ConnectionPreferences {
    /** The count then is the number of calls in the lifetime of an idle connection. */
    private static final Duration RATE_WINDOW = Duration.ofNanos(IdleConnections.REUSE_LIMIT_NANOS);

    /** A daemon with fewer calls than this in a window has been silent for about five windows. */
    private static final double MIN_CALLS = 0.01;

    private final Map<String, DecayingCount> callsByDaemon = new HashMap<>();
    private long firstArrivalNanos;

    /** Records a call, whether or not it is admitted. */
    void recordArrival(DispatchRequest request, long nowNanos) {
        String daemon = request.origin().daemon();
        if (daemon.isEmpty()) {
            return;
        }
        if (callsByDaemon.isEmpty()) {
            firstArrivalNanos = nowNanos;
        }
        if (!callsByDaemon.containsKey(daemon)) {
            callsByDaemon.values().removeIf(calls -> calls.value(nowNanos) < MIN_CALLS);
        }
        callsByDaemon
                .computeIfAbsent(daemon, key -> new DecayingCount(RATE_WINDOW.toNanos()))
                .increment(nowNanos);
    }

    /** Returns the preference of a call among the upstreams. */
    ConnectionPreference preference(DispatchRequest request, Collection<UpstreamState> states, long nowNanos) {
        DecayingCount calls = callsByDaemon.get(request.origin().daemon());
        double callsInWindow = calls == null ? 0 : calls.value(nowNanos) / observedFraction(nowNanos);
        return new ConnectionPreference(request, states, callsInWindow < states.size() ? callsInWindow : 0);
    }

    /** Returns the weight of the time observed so far. A new coordinator would otherwise take every daemon's rate as low. */
    private double observedFraction(long nowNanos) {
        return 1 - Math.exp(-(double) (nowNanos - firstArrivalNanos) / RATE_WINDOW.toNanos());
    }
}
