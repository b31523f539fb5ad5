package org.sardinepost.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.sardinepost.core.routing.UpstreamId;

/**
 * The active leaving marks, at most one per upstream and instance.
 *
 * <p>A mark without an instance applies to whatever process runs at the address, so it expires and ends with a newly
 * started process. A mark of an instance applies to that process only and ends with it.
 */
final class LeavingMarks {
    private final Map<UpstreamId, Map<Optional<String>, LeavingMark>> marks = new HashMap<>();
    private final Map<UpstreamId, Long> lastStartNanos = new HashMap<>();

    /**
     * Adds a mark unless it has expired or was observed before the last start of the upstream.
     *
     * @param listedInstance the instance that the VM list shows at the address
     * @return whether the mark was added and the upstream was not marked before
     */
    boolean add(UpstreamId upstream, LeavingMark mark, Optional<String> listedInstance, long nowNanos) {
        if (hasEnded(mark, listedInstance, nowNanos) || isFromBeforeLastStart(upstream, mark)) {
            return false;
        }
        boolean markedBefore = mark(upstream, listedInstance).isPresent();
        marks.computeIfAbsent(upstream, id -> new HashMap<>()).merge(mark.instance(), mark, LeavingMarks::later);
        return !markedBefore && mark(upstream, listedInstance).isPresent();
    }

    /**
     * Removes the marks of other processes from an address at which the VM list shows a newly started process.
     *
     * @return whether the upstream was marked before and no longer is
     */
    boolean recordStart(UpstreamId upstream, Optional<String> instance, long nowNanos) {
        lastStartNanos.put(upstream, nowNanos);
        Map<Optional<String>, LeavingMark> marksOfUpstream = marks.get(upstream);
        if (marksOfUpstream == null) {
            return false;
        }
        marksOfUpstream.keySet().removeIf(marked -> marked.isEmpty() || !marked.equals(instance));
        if (marksOfUpstream.isEmpty()) {
            marks.remove(upstream);
        }
        return marksOfUpstream.isEmpty();
    }

    /**
     * Removes the expired marks and returns the upstreams that are no longer marked.
     *
     * @param listedInstance returns the instance that the VM list shows at an address
     */
    Set<UpstreamId> removeExpired(Function<UpstreamId, Optional<String>> listedInstance, long nowNanos) {
        Set<UpstreamId> unmarked = new HashSet<>();
        marks.forEach((upstream, marksOfUpstream) -> {
            Optional<String> listed = listedInstance.apply(upstream);
            boolean removed = marksOfUpstream.values().removeIf(mark -> hasEnded(mark, listed, nowNanos));
            if (removed && mark(upstream, listed).isEmpty()) {
                unmarked.add(upstream);
            }
        });
        marks.values().removeIf(Map::isEmpty);
        return unmarked;
    }

    /**
     * Returns a mark that applies to the process at an address; if the VM list names no instance there, any mark of the
     * address does.
     */
    Optional<LeavingMark> mark(UpstreamId upstream, Optional<String> listedInstance) {
        Collection<LeavingMark> marksOfUpstream =
                marks.getOrDefault(upstream, Map.of()).values();
        return marksOfUpstream.stream()
                .filter(mark -> mark.instance().isEmpty()
                        || listedInstance.isEmpty()
                        || mark.instance().equals(listedInstance))
                .reduce(LeavingMarks::later);
    }

    Set<UpstreamId> upstreams() {
        return Set.copyOf(marks.keySet());
    }

    Collection<LeavingMark> marks(UpstreamId upstream) {
        return Set.copyOf(marks.getOrDefault(upstream, Map.of()).values());
    }

    private static LeavingMark later(LeavingMark first, LeavingMark second) {
        return second.expiresAtNanos() - first.expiresAtNanos() > 0 ? second : first;
    }

    private static boolean hasEnded(LeavingMark mark, Optional<String> listedInstance, long nowNanos) {
        boolean stillListed = mark.instance().isPresent() && mark.instance().equals(listedInstance);
        return mark.expired(nowNanos) && !stillListed;
    }

    private boolean isFromBeforeLastStart(UpstreamId upstream, LeavingMark mark) {
        Long start = lastStartNanos.get(upstream);
        return mark.instance().isEmpty() && start != null && mark.observedNanos() - start < 0;
    }
}
