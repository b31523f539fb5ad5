package org.sardinepost.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares the outcomes that were reported to callers with the executions on the upstreams.
 *
 * @param executions the number of requests by number of executions
 * @param violations one line for each violated guarantee
 */
public record WriteVerdict(Map<Integer, Integer> executions, List<String> violations) {
    public WriteVerdict {
        executions = Map.copyOf(executions);
        violations = List.copyOf(violations);
    }

    public static WriteVerdict of(WriteLog writeLog, Map<String, Integer> executionCounts) {
        Map<Integer, Integer> executions = new TreeMap<>();
        List<String> violations = new ArrayList<>();
        writeLog.reportedOutcomes().forEach((requestId, outcome) -> {
            int runs = executionCounts.getOrDefault(requestId, 0);
            executions.merge(runs, 1, Integer::sum);
            if (runs > 1) {
                violations.add("request " + requestId + " ran " + runs + " times");
            }
            if (outcome == WriteLog.ReportedOutcome.NOT_RUN && runs > 0) {
                violations.add("request " + requestId + " ran although every answer said not-run");
            }
            if (outcome == WriteLog.ReportedOutcome.ANSWERED && runs == 0) {
                violations.add("request " + requestId + " was answered but never ran");
            }
        });
        return new WriteVerdict(executions, violations);
    }
}
