package org.sardinepost.core.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The idle connections that daemons keep open to one upstream.
 *
 * <p>Opening a connection costs the upstream time, so calls of a daemon preferably go to upstreams to which it has an
 * idle connection. The connections are inferred from completed calls; a daemon reuses the most recently used connection
 * first. Not thread-safe.
 */
final class IdleConnections {
    /** Slightly shorter than the time for which daemons keep idle connections open. */
    static final long REUSE_LIMIT_NANOS = Duration.ofMillis(7_500).toNanos();

    private final Map<String, Deque<Long>> idleSinceByDaemon = new HashMap<>();

    /** Returns whether the daemon probably has an idle connection. */
    boolean hasIdle(String daemon, long nowNanos) {
        Deque<Long> idleSince = idleSinceByDaemon.get(daemon);
        return idleSince != null && !idleSince.isEmpty() && nowNanos - idleSince.peekLast() < REUSE_LIMIT_NANOS;
    }

    /**
     * Returns the time since the last use of the connection that the daemon would reuse, as a fraction of the time for
     * which it can be reused; 1 if there is none.
     */
    double idleFraction(String daemon, long nowNanos) {
        Deque<Long> idleSince = idleSinceByDaemon.get(daemon);
        return idleSince == null || idleSince.isEmpty()
                ? 1
                : Math.min(1, (double) (nowNanos - idleSince.peekLast()) / REUSE_LIMIT_NANOS);
    }

    /** Records the start of a call, which uses an idle connection if there is one. */
    void acquire(String daemon) {
        Deque<Long> idleSince = idleSinceByDaemon.get(daemon);
        if (idleSince != null) {
            idleSince.pollLast();
        }
    }

    /** Records the end of a call that left its connection open. */
    void release(String daemon, long nowNanos) {
        Deque<Long> idleSince = idleSinceByDaemon.computeIfAbsent(daemon, key -> new ArrayDeque<>());
        idleSince.addLast(nowNanos);
        while (nowNanos - idleSince.peekFirst() >= REUSE_LIMIT_NANOS) {
            idleSince.removeFirst();
        }
    }
}
