package org.sardinepost.standins.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Records the outcome that was reported to the caller of each non-idempotent request. */
public final class WriteLog {
    /** The outcome that was reported to the caller, in ascending order of precedence. */
    public enum ReportedOutcome {
        NONE,
        NOT_RUN,
        UNKNOWN,
        ANSWERED
    }

    private final ConcurrentMap<String, ReportedOutcome> reportedOutcomes = new ConcurrentHashMap<>();

    public void recordRequest(String requestId) {
        reportedOutcomes.putIfAbsent(requestId, ReportedOutcome.NONE);
    }

    /** Records an outcome unless one of higher precedence is known: answered before unknown before not run. */
    public void recordOutcome(String requestId, ReportedOutcome outcome) {
        reportedOutcomes.merge(
                requestId, outcome, (previous, current) -> previous.compareTo(current) >= 0 ? previous : current);
    }

    public Map<String, ReportedOutcome> reportedOutcomes() {
        return Map.copyOf(reportedOutcomes);
    }
}
