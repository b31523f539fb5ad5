package org.sardinepost.standins.upstream;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** Counts the executions of each request by Request-Id. */
public final class ExecutionCounter {
    private final Map<String, Integer> counts = new ConcurrentHashMap<>();

    public void recordStart(String requestId) {
        counts.merge(requestId, 1, Integer::sum);
    }

    public int count(String requestId) {
        return counts.getOrDefault(requestId, 0);
    }

    /** Formats the counts as one line {@code REQUEST_ID COUNT} per request. */
    public String toLines() {
        return counts.entrySet().stream()
                .map(entry -> entry.getKey() + " " + entry.getValue() + "\n")
                .collect(Collectors.joining());
    }
}
