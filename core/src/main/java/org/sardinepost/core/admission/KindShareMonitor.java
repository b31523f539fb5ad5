package org.sardinepost.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects when kinds of call of one service fall below their guaranteed share and when they recover.
 *
 * <p>A kind that is kept at its guaranteed share under lasting overload crosses it several times a second. It counts as
 * recovered only after a time without shortage. Not thread-safe.
 */
public final class KindShareMonitor {
    /** The time over which {@link KindDemand} averages the shares. */
    private static final long RECOVERY_NANOS = Duration.ofSeconds(10).toNanos();

    /** Identifies a kind of call of a service. */
    private record Key(String kind, int priority) {}

    /**
     * A kind that fell below its guaranteed share, or recovered.
     *
     * @param below whether it fell below the share
     */
    public record Change(String kind, int priority, boolean below) {}

    private final Map<Key, Long> lastBelowNanos = new HashMap<>();

    /** Returns the changes since the last call of this method. */
    public List<Change> update(List<KindReport> reports, long nowNanos) {
        List<Change> changes = new ArrayList<>(0);
        for (KindReport report : reports) {
            if (report.belowGuaranteedShare()
                    && lastBelowNanos.put(new Key(report.kind(), report.priority()), nowNanos) == null) {
                changes.add(new Change(report.kind(), report.priority(), true));
            }
        }
        lastBelowNanos.entrySet().removeIf(entry -> {
            boolean recovered = nowNanos - entry.getValue() >= RECOVERY_NANOS;
            if (recovered) {
                changes.add(new Change(entry.getKey().kind(), entry.getKey().priority(), false));
            }
            return recovered;
        });
        return changes;
    }

    /** Returns the number of kinds that are below their guaranteed share. */
    public int kindsBelow() {
        return lastBelowNanos.size();
    }
}
