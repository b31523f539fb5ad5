package org.sardinepost.standins.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Latencies and response counts of one run. */
public final class CallStatistics {
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> responseCounts = new TreeMap<>();
    private int invalidResponses;

    public synchronized void recordResponse(String description, long micros) {
        responseCounts.merge(description, 1, Integer::sum);
        latencyMicros.recordValue(Math.min(micros, MAX_LATENCY_MICROS));
    }

    /** Records a response that was truncated or belongs to another request. */
    public synchronized void recordInvalidResponse() {
        invalidResponses++;
    }

    public synchronized int invalidResponses() {
        return invalidResponses;
    }

    /** Returns the number of calls without a response of status 200. */
    public synchronized long unsuccessfulCalls() {
        return responseCounts.entrySet().stream()
                .filter(entry -> !entry.getKey().startsWith("200 "))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    public synchronized long calls() {
        return latencyMicros.getTotalCount();
    }

    public synchronized long percentileMicros(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile);
    }

    public synchronized Map<String, Integer> responseCounts() {
        return new TreeMap<>(responseCounts);
    }
}
