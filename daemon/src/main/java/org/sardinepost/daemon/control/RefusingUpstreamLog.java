package org.sardinepost.daemon.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.log.LineRateLimiter;
import org.sardinepost.daemon.log.LogEvent;

/**
 * Logs which upstreams are closed because they refuse calls, and which are open again.
 *
 * <p>A line that the limit does not allow is written later, if it is still true then. Not thread-safe.
 */
final class RefusingUpstreamLog {
    private static final int LINES_PER_SECOND = 5;

    private final LineRateLimiter limiter = new LineRateLimiter(LINES_PER_SECOND);
    private final Map<String, Set<UpstreamId>> loggedByService = new HashMap<>();

    /** Logs the difference between what was logged for a service and its refusing upstreams. */
    void update(String service, Set<UpstreamId> refusing, long nowNanos) {
        Set<UpstreamId> logged = loggedByService.getOrDefault(service, Set.of());
        if (refusing.equals(logged)) {
            return;
        }
        Set<UpstreamId> updated = new HashSet<>(logged);
        for (UpstreamId upstream : refusing) {
            if (!logged.contains(upstream) && limiter.tryAcquire(nowNanos)) {
                updated.add(upstream);
                LogEvent.UPSTREAM_REFUSING.warn(upstream, service);
            }
        }
        for (UpstreamId upstream : logged) {
            if (!refusing.contains(upstream) && limiter.tryAcquire(nowNanos)) {
                updated.remove(upstream);
                LogEvent.UPSTREAM_NOT_REFUSING.info(upstream, service);
            }
        }
        loggedByService.put(service, updated);
    }

    /** Forgets the services that are no longer registered. */
    void retain(Set<String> services) {
        loggedByService.keySet().retainAll(services);
    }
}
