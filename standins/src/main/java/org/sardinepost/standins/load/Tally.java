package org.sardinepost.standins.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Latencies and answers of one run. */
public final class Tally {
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram latencyMicros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> answers = new TreeMap<>();
    private int wrongAnswers;

    public synchronized void answered(String description, long micros) {
        answers.merge(description, 1, Integer::sum);
        latencyMicros.recordValue(Math.min(micros, HIGHEST_MICROS));
    }

    /** An answer that was cut, or that belongs to another request. */
    public synchronized void wrongAnswer() {
        wrongAnswers++;
    }

    public synchronized int wrongAnswers() {
        return wrongAnswers;
    }

    /** Calls without an answer of status 200. */
    public synchronized long unsuccessful() {
        return answers.entrySet().stream()
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

    public synchronized Map<String, Integer> answers() {
        return new TreeMap<>(answers);
    }
}
