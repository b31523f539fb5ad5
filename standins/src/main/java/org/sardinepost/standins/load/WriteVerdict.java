package org.sardinepost.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares what callers were told with what the upstreams executed.
 *
 * @param executions number of requests by how often they ran
 * @param violations one line for each broken promise
 */
public record WriteVerdict(Map<Integer, Integer> executions, List<String> violations) {
    public WriteVerdict {
        executions = Map.copyOf(executions);
        violations = List.copyOf(violations);
    }

    public static WriteVerdict of(WriteLog log, Map<String, Integer> executed) {
        Map<Integer, Integer> executions = new TreeMap<>();
        List<String> violations = new ArrayList<>();
        log.all().forEach((requestId, told) -> {
            int count = executed.getOrDefault(requestId, 0);
            executions.merge(count, 1, Integer::sum);
            if (count > 1) {
                violations.add("request " + requestId + " ran " + count + " times");
            }
            if (told == WriteLog.Told.NOT_RUN && count > 0) {
                violations.add("request " + requestId + " ran although every answer said not-run");
            }
            if (told == WriteLog.Told.ANSWERED && count == 0) {
                violations.add("request " + requestId + " was answered but never ran");
            }
        });
        return new WriteVerdict(executions, violations);
    }
}
