package org.sardinepost.core.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The typical service time of each kind of call of one service. Not thread-safe.
 *
 * <p>Service times differ by a factor of up to a hundred between kinds. With a single average, an upstream that
 * happened to receive the short calls would make the others look slow.
 */
public final class ServiceTimeEstimator {
    /** Configuration changes keep replacing routes; the least recently used kinds are evicted. */
    private static final int MAX_KINDS = 1_000;

    /** Means of fewer responses are not reliable. */
    private static final int MIN_SAMPLES = 5;

    /** A kind without a response for this long, although it is called, may have become faster. */
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    /** Adapts to a change in the mix of kinds within about 50 calls. */
    private static final double SMOOTHING = 0.04;

    private final Map<String, ServiceTimeAverage> byKind = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ServiceTimeAverage> eldest) {
            return size() > MAX_KINDS;
        }
    };
    private double meanNanos;
    private int samples;

    public void recordResponse(String kind, long durationNanos, long nowNanos) {
        byKind.computeIfAbsent(kind, key -> new ServiceTimeAverage()).recordResponse(durationNanos, nowNanos);
        samples++;
        meanNanos += Math.max(SMOOTHING, 1.0 / samples) * (durationNanos - meanNanos);
    }

    /** Returns the typical service time of a kind; 0 until there are enough samples. */
    public long typicalNanos(String kind) {
        ServiceTimeAverage average = byKind.get(kind);
        return average == null || average.samples() < MIN_SAMPLES ? 0 : average.meanNanos();
    }

    /**
     * Returns the mean time for which a call of a kind takes a slot, or the mean over all calls until there are enough
     * samples.
     */
    public long workNanos(String kind) {
        ServiceTimeAverage average = byKind.get(kind);
        return average == null || average.samples() < MIN_SAMPLES ? meanNanos() : average.arithmeticMeanNanos();
    }

    /**
     * Returns whether a call may be sent although the typical service time is too long for it. Without trials, a kind
     * whose calls are all refused for their service time would never get a response that corrects it.
     */
    public boolean trialDue(String kind, long nowNanos) {
        ServiceTimeAverage average = byKind.get(kind);
        return average != null && nowNanos - average.updatedNanos() >= TRIAL_INTERVAL_NANOS;
    }

    /** Records that a trial call was sent, which delays the next one. */
    public void trialStarted(String kind, long nowNanos) {
        byKind.get(kind).trialStarted(nowNanos);
    }

    /** Records the response to a trial call, which replaces the service time that all calls of the kind were refused for. */
    public void recordTrial(String kind, long durationNanos, long nowNanos) {
        byKind.computeIfAbsent(kind, key -> new ServiceTimeAverage()).recordTrial(durationNanos, nowNanos);
    }

    /**
     * Returns the mean over all calls, which determines how many slots become free per second; 0 until a call gets a
     * response.
     */
    public long meanNanos() {
        return (long) meanNanos;
    }
}
