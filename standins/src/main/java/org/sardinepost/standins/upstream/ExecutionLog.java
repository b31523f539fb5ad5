package org.sardinepost.standins.upstream;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** Counts how often each request was started, by its Request-Id. */
public final class ExecutionLog {
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();

    public void started(String requestId) {
        executions.merge(requestId, 1, Integer::sum);
    }

    public int count(String requestId) {
        return executions.getOrDefault(requestId, 0);
    }

    /** One line {@code REQUEST_ID COUNT} per request. */
    public String lines() {
        return executions.entrySet().stream()
                .map(entry -> entry.getKey() + " " + entry.getValue() + "\n")
                .collect(Collectors.joining());
    }
}
