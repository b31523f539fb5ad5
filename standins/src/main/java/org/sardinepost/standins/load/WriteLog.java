package org.sardinepost.standins.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** What callers were told of each non-idempotent request. */
public final class WriteLog {
    /** The strongest statement that a caller received about a request. */
    public enum Told {
        NOTHING,
        NOT_RUN,
        UNKNOWN,
        ANSWERED
    }

    private final ConcurrentMap<String, Told> told = new ConcurrentHashMap<>();

    public void sent(String requestId) {
        told.putIfAbsent(requestId, Told.NOTHING);
    }

    /** Keeps the strongest statement: an answer outweighs unknown, which outweighs not run. */
    public void told(String requestId, Told statement) {
        told.merge(requestId, statement, (old, now) -> old.compareTo(now) >= 0 ? old : now);
    }

    public Map<String, Told> all() {
        return Map.copyOf(told);
    }
}
