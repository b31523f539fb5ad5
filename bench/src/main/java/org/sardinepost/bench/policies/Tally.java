package org.sardinepost.bench.policies;

import org.HdrHistogram.Histogram;

/** What one run measured, from the start of the fault on. */
final class Tally {
    private static final long EARLY_END_NANOS = Scenario.FAULT_NANOS + 1_100_000_000L;
    private static final long REACTED_NANOS = Scenario.FAULT_NANOS + 100_000_000L;

    private final Histogram latencyMicros = new Histogram(10_000_000, 3);
    private long calls;
    private long failed;
    private long dispatches;
    private long wasted;
    private long[] reacted = new long[2];
    private long[] early = new long[2];
    private long messages;
    private long peerBytes;

    void answered(Call call, long nowNanos) {
        if (call.arrivalNanos < Scenario.FAULT_NANOS) {
            return;
        }
        if (nowNanos > call.deadlineNanos()) {
            failed(call);
            return;
        }
        calls++;
        latencyMicros.recordValue((nowNanos - call.arrivalNanos) / 1000);
    }

    void failed(Call call) {
        if (call.arrivalNanos >= Scenario.FAULT_NANOS) {
            calls++;
            failed++;
        }
    }

    void dispatched(int server, long nowNanos) {
        if (nowNanos < Scenario.FAULT_NANOS) {
            return;
        }
        dispatches++;
        if (nowNanos >= REACTED_NANOS) {
            count(reacted, server);
        }
        if (nowNanos >= REACTED_NANOS && nowNanos < EARLY_END_NANOS) {
            count(early, server);
        }
    }

    private static void count(long[] counts, int server) {
        counts[0]++;
        counts[1] += server == 0 ? 1 : 0;
    }

    void wasted(long nowNanos) {
        wasted += nowNanos >= Scenario.FAULT_NANOS ? 1 : 0;
    }

    void measured() {
        messages++;
    }

    /** Measuring messages per second over all daemons. */
    double messagesPerSecond() {
        return messages * 1e9 / Scenario.END_NANOS;
    }

    void peerBytes(long bytes) {
        peerBytes += bytes;
    }

    double millis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1e3;
    }

    double failedPercent() {
        return 100.0 * failed / Math.max(1, calls);
    }

    double wastedPercent() {
        return 100.0 * wasted / Math.max(1, dispatches);
    }

    /** Share of the dispatches to server 0, from 100 ms after the fault to the end. */
    double reactedPercent() {
        return 100.0 * reacted[1] / Math.max(1, reacted[0]);
    }

    /** The same for the first second only. */
    double earlyPercent() {
        return 100.0 * early[1] / Math.max(1, early[0]);
    }

    /** Bytes per second that one daemon sends to all its peers. */
    double peerBytesPerSecond(int daemons) {
        return peerBytes * 1e9 / daemons / Scenario.END_NANOS;
    }
}
