package org.sardinepost.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinepost.core.routing.UpstreamId;

/** The leaving marks in effect, at most one for each upstream. */
final class LeavingMarks {
    private final Map<UpstreamId, LeavingMark> marks = new HashMap<>();
    private final Map<UpstreamId, Long> startNanos = new HashMap<>();

    /** Adds a mark unless it is from before the upstream's last start; true if the upstream was not marked before. */
    boolean add(UpstreamId upstream, LeavingMark mark, long nowNanos) {
        if (mark.expired(nowNanos) || beforeStart(upstream, mark)) {
            return false;
        }
        LeavingMark before = marks.get(upstream);
        if (before == null || mark.endNanos() - before.endNanos() > 0) {
            marks.put(upstream, mark);
        }
        return before == null;
    }

    /** Drops the mark of an upstream that the VM list shows as newly started; true if it was marked. */
    boolean started(UpstreamId upstream, long nowNanos) {
        startNanos.put(upstream, nowNanos);
        return marks.remove(upstream) != null;
    }

    /** Drops the marks that ended and returns their upstreams. */
    Set<UpstreamId> expire(long nowNanos) {
        Set<UpstreamId> ended = new HashSet<>();
        marks.forEach((upstream, mark) -> {
            if (mark.expired(nowNanos)) {
                ended.add(upstream);
            }
        });
        marks.keySet().removeAll(ended);
        return ended;
    }

    Optional<LeavingMark> mark(UpstreamId upstream) {
        return Optional.ofNullable(marks.get(upstream));
    }

    Map<UpstreamId, LeavingMark> all() {
        return Map.copyOf(marks);
    }

    private boolean beforeStart(UpstreamId upstream, LeavingMark mark) {
        Long start = startNanos.get(upstream);
        return start != null && mark.observedNanos() - start < 0;
    }
}
