package org.sardinepost.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinepost.core.routing.UpstreamId;

/** The active leaving marks, at most one per upstream. */
final class LeavingMarks {
    private final Map<UpstreamId, LeavingMark> marks = new HashMap<>();
    private final Map<UpstreamId, Long> lastStartNanos = new HashMap<>();

    /**
     * Adds a mark unless it has expired or was observed before the last start of the upstream.
     *
     * @return whether the mark was added and the upstream was not marked before
     */
    boolean add(UpstreamId upstream, LeavingMark mark, long nowNanos) {
        if (mark.expired(nowNanos) || isFromBeforeLastStart(upstream, mark)) {
            return false;
        }
        LeavingMark previous = marks.get(upstream);
        if (previous == null || mark.expiresAtNanos() - previous.expiresAtNanos() > 0) {
            marks.put(upstream, mark);
        }
        return previous == null;
    }

    /**
     * Removes the mark of an upstream that the VM list shows as newly started.
     *
     * @return whether the upstream was marked
     */
    boolean recordStart(UpstreamId upstream, long nowNanos) {
        lastStartNanos.put(upstream, nowNanos);
        return marks.remove(upstream) != null;
    }

    /** Removes the expired marks and returns their upstreams. */
    Set<UpstreamId> removeExpired(long nowNanos) {
        Set<UpstreamId> expiredUpstreams = new HashSet<>();
        marks.forEach((upstream, mark) -> {
            if (mark.expired(nowNanos)) {
                expiredUpstreams.add(upstream);
            }
        });
        marks.keySet().removeAll(expiredUpstreams);
        return expiredUpstreams;
    }

    Optional<LeavingMark> mark(UpstreamId upstream) {
        return Optional.ofNullable(marks.get(upstream));
    }

    Map<UpstreamId, LeavingMark> asMap() {
        return Map.copyOf(marks);
    }

    private boolean isFromBeforeLastStart(UpstreamId upstream, LeavingMark mark) {
        Long start = lastStartNanos.get(upstream);
        return start != null && mark.observedNanos() - start < 0;
    }
}
