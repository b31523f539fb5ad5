package org.sardinepost.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The usual times that the upstreams of one service take for each kind of call. Not thread-safe.
 *
 * <p>Kinds differ a hundredfold in their work. An upstream that happened to get the short ones would otherwise make the
 * others look slow.
 */
public final class ServiceTimeEstimator {
    /** Configurations replace routes all the time; the kinds that were not seen for longest are forgotten. */
    private static final int MAX_KINDS = 1_000;

    /** The means of fewer answers say little. */
    private static final int MIN_SAMPLES = 5;

    /** Follows a change of the mix of kinds within some fifty calls. */
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

    public void answered(String kind, long tookNanos) {
        byKind.computeIfAbsent(kind, added -> new ServiceTimeAverage()).answered(tookNanos);
        samples++;
        meanNanos += Math.max(SMOOTHING, 1.0 / samples) * (tookNanos - meanNanos);
    }

    /** The usual time of a kind; 0 while too little is known. */
    public long usualNanos(String kind) {
        ServiceTimeAverage time = byKind.get(kind);
        return time == null || time.samples() < MIN_SAMPLES ? 0 : time.meanNanos();
    }

    /** The mean over all calls, which tells how many places free up in a second; 0 while no call was answered. */
    public long meanNanos() {
        return (long) meanNanos;
    }
}
