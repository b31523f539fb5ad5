package org.sardinepost.bench.policies;

import org.HdrHistogram.Histogram;

/** Statistics of one simulation run, collected from the start of the fault. */
final class SimulationStatistics {
    private static final long FIRST_SECOND_END_NANOS = Scenario.FAULT_START_NANOS + 1_100_000_000L;
    private static final long REACTION_END_NANOS = Scenario.FAULT_START_NANOS + 100_000_000L;

    private final Histogram latencyMicros = new Histogram(10_000_000, 3);
    private long calls;
    private long failedCalls;
    private long dispatches;
    private long wastedDispatches;
    /** Dispatches from {@link #REACTION_END_NANOS} on: element 0 counts all of them, element 1 those to server 0. */
    private long[] dispatchesAfterReaction = new long[2];
    /** The same counts up to {@link #FIRST_SECOND_END_NANOS}. */
    private long[] dispatchesInFirstSecond = new long[2];

    private long messages;
    private long peerBytes;

    void recordAnsweredCall(Call call, long nowNanos) {
        if (call.arrivalNanos < Scenario.FAULT_START_NANOS) {
            return;
        }
        if (nowNanos > call.deadlineNanos()) {
            recordFailedCall(call);
            return;
        }
        calls++;
        latencyMicros.recordValue((nowNanos - call.arrivalNanos) / 1000);
    }

    void recordFailedCall(Call call) {
        if (call.arrivalNanos >= Scenario.FAULT_START_NANOS) {
            calls++;
            failedCalls++;
        }
    }

    void recordDispatch(int server, long nowNanos) {
        if (nowNanos < Scenario.FAULT_START_NANOS) {
            return;
        }
        dispatches++;
        if (nowNanos >= REACTION_END_NANOS) {
            count(dispatchesAfterReaction, server);
        }
        if (nowNanos >= REACTION_END_NANOS && nowNanos < FIRST_SECOND_END_NANOS) {
            count(dispatchesInFirstSecond, server);
        }
    }

    private static void count(long[] counts, int server) {
        counts[0]++;
        counts[1] += server == 0 ? 1 : 0;
    }

    void recordWastedDispatch(long nowNanos) {
        wastedDispatches += nowNanos >= Scenario.FAULT_START_NANOS ? 1 : 0;
    }

    void recordMeasurement() {
        messages++;
    }

    /** Returns the number of measurement messages per second, summed over all daemons. */
    double messagesPerSecond() {
        return messages * 1e9 / Scenario.END_NANOS;
    }

    void recordPeerBytes(long bytes) {
        peerBytes += bytes;
    }

    double latencyMillis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1e3;
    }

    double failedPercent() {
        return 100.0 * failedCalls / Math.max(1, calls);
    }

    double wastedPercent() {
        return 100.0 * wastedDispatches / Math.max(1, dispatches);
    }

    /** Returns the percentage of dispatches that went to server 0, from 100 ms after the fault to the end. */
    double server0Percent() {
        return 100.0 * dispatchesAfterReaction[1] / Math.max(1, dispatchesAfterReaction[0]);
    }

    /** Returns the percentage of dispatches that went to server 0, from 100 ms to 1.1 s after the fault. */
    double server0PercentInFirstSecond() {
        return 100.0 * dispatchesInFirstSecond[1] / Math.max(1, dispatchesInFirstSecond[0]);
    }

    /** Returns the number of bytes per second that one daemon sends to all its peers. */
    double peerBytesPerSecond(int daemons) {
        return peerBytes * 1e9 / daemons / Scenario.END_NANOS;
    }
}
