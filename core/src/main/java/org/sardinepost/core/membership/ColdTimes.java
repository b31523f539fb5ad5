package org.sardinepost.core.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.sardinepost.core.routing.UpstreamId;

/** Combines the reasons for which upstreams are cold, and joins them with the warm-up time of a service. */
public final class ColdTimes {
    private ColdTimes() {}

    /** Returns the times of both maps, and the later one for an upstream that is in both. */
    public static Map<UpstreamId, Long> latest(Map<UpstreamId, Long> first, Map<UpstreamId, Long> second) {
        if (second.isEmpty()) {
            return first;
        }
        Map<UpstreamId, Long> combined = new HashMap<>(first);
        second.forEach((upstream, sinceNanos) ->
                combined.merge(upstream, sinceNanos, (one, other) -> one - other > 0 ? one : other));
        return combined;
    }

    /**
     * Returns until when upstreams are cold, without those whose time has passed.
     *
     * @param sinceNanos since when upstreams have been cold
     * @param upstreams the upstreams of the service
     */
    public static Map<UpstreamId, Long> untilNanos(
            Map<UpstreamId, Long> sinceNanos, Collection<UpstreamId> upstreams, Duration warmUp, long nowNanos) {
        if (sinceNanos.isEmpty()) {
            return Map.of();
        }
        Map<UpstreamId, Long> untilNanos = new HashMap<>();
        for (UpstreamId upstream : upstreams) {
            Long since = sinceNanos.get(upstream);
            if (since != null && since + warmUp.toNanos() - nowNanos > 0) {
                untilNanos.put(upstream, since + warmUp.toNanos());
            }
        }
        return untilNanos;
    }
}
