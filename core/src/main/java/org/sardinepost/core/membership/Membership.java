package org.sardinepost.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/**
 * What is live and what is leaving, from the VM list, this daemon's own observations and the marks of its peers.
 *
 * <p>The VM list lags. A leaving mark therefore wins over a list that shows the upstream as live, until a newer list shows
 * it as newly started (live after it was leaving or absent) or the mark's time is over. An upstream that disappears from
 * the list is kept until a connection to it fails.
 *
 * <p>Not thread-safe: the control thread owns it. Methods that return a boolean say whether the view changed.
 */
public final class Membership {
    private final Map<UpstreamId, ListedUpstream> listed = new LinkedHashMap<>();
    private final Set<UpstreamId> daemons = new HashSet<>();
    private final LeavingMarks marks = new LeavingMarks();
    private boolean listSeen;
    private long listRevision;

    /** Takes over a VM list; one with a lower revision than the last is ignored. */
    public boolean applyList(VmList list, long revision, long nowNanos) {
        if (listSeen && revision < listRevision) {
            return false;
        }
        Map<UpstreamId, ListedUpstream> before = Map.copyOf(listed);
        Set<UpstreamId> daemonsBefore = Set.copyOf(daemons);
        boolean marksChanged = applyUpstreams(list, nowNanos);
        daemons.clear();
        list.vms().stream()
                .filter(vm -> vm.role() == VmRole.DAEMON)
                .map(Vm::address)
                .forEach(daemons::add);
        listSeen = true;
        listRevision = revision;
        return marksChanged || !before.equals(listed) || !daemonsBefore.equals(daemons);
    }

    /** Records this daemon's own observation that an upstream is leaving. */
    public boolean markLeaving(UpstreamId upstream, LeavingSignal signal, long nowNanos) {
        return marks.add(upstream, new LeavingMark(signal, nowNanos, Optional.empty()), nowNanos);
    }

    /** Records what a peer observed {@code ageMillis} ago. */
    public boolean peerMark(UpstreamId peer, UpstreamId upstream, LeavingSignal signal, long ageMillis, long nowNanos) {
        long observedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        return marks.add(upstream, new LeavingMark(signal, observedNanos, Optional.of(peer)), nowNanos);
    }

    /** Records that a connection could not be opened. */
    public boolean connectionFailed(UpstreamId upstream, boolean refused, long nowNanos) {
        boolean removed = listed.containsKey(upstream) && listed.get(upstream).state() == ListedState.ABSENT;
        if (removed) {
            listed.remove(upstream);
        }
        boolean marked = refused && markLeaving(upstream, LeavingSignal.REFUSED_CONNECTION, nowNanos);
        return removed || marked;
    }

    /** Ends the marks whose time is over. */
    public boolean expire(long nowNanos) {
        Set<UpstreamId> ended = marks.expire(nowNanos);
        // An upstream that was said to leave and is no longer listed is gone.
        ended.stream().filter(this::absent).forEach(listed::remove);
        return !ended.isEmpty();
    }

    public boolean leaving(UpstreamId upstream) {
        return marks.mark(upstream).isPresent() || listedAs(upstream, ListedState.LEAVING);
    }

    /** The signal by which the upstream is known to be leaving. */
    public Optional<LeavingMark> mark(UpstreamId upstream) {
        return marks.mark(upstream);
    }

    /** All upstreams that are leaving. */
    public Set<UpstreamId> leavingUpstreams() {
        Set<UpstreamId> leaving = new HashSet<>(marks.all().keySet());
        listed.keySet().stream().filter(this::leaving).forEach(leaving::add);
        return Set.copyOf(leaving);
    }

    /** The marks that this daemon observed itself. Marks of peers are not passed on, or they would never end. */
    public Map<UpstreamId, LeavingMark> ownMarks() {
        return marks.all().entrySet().stream()
                .filter(entry -> entry.getValue().peer().isEmpty())
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** The upstreams of the VM list that may get new work, by service. */
    public Map<String, List<Upstream>> upstreamsByService() {
        return listed.values().stream()
                .filter(upstream -> !leaving(upstream.id()))
                .collect(Collectors.groupingBy(
                        ListedUpstream::service,
                        TreeMap::new,
                        Collectors.mapping(ListedUpstream::upstream, Collectors.toUnmodifiableList())));
    }

    /** The peer addresses of the daemons in the VM list, live and leaving. */
    public Set<UpstreamId> daemons() {
        return Set.copyOf(daemons);
    }

    private boolean applyUpstreams(VmList list, long nowNanos) {
        Map<UpstreamId, ListedUpstream> newest = new LinkedHashMap<>();
        list.vms().stream()
                .filter(vm -> vm.role() == VmRole.UPSTREAM)
                .map(ListedUpstream::of)
                .forEach(upstream -> newest.put(upstream.id(), upstream));
        boolean changed = false;
        for (ListedUpstream upstream : newest.values()) {
            changed |= applyUpstream(upstream, nowNanos);
        }
        dropUnlisted(newest.keySet());
        return changed;
    }

    private boolean applyUpstream(ListedUpstream upstream, long nowNanos) {
        boolean newStart =
                listSeen && upstream.state() == ListedState.LIVE && !listedAs(upstream.id(), ListedState.LIVE);
        boolean becameLeaving =
                upstream.state() == ListedState.LEAVING && !listedAs(upstream.id(), ListedState.LEAVING);
        listed.put(upstream.id(), upstream);
        if (newStart) {
            return marks.started(upstream.id(), nowNanos);
        }
        return becameLeaving && markLeaving(upstream.id(), LeavingSignal.VM_LIST, nowNanos);
    }

    private void dropUnlisted(Set<UpstreamId> newest) {
        Map<UpstreamId, ListedUpstream> unlisted = new HashMap<>(listed);
        unlisted.keySet().removeAll(newest);
        unlisted.forEach((id, upstream) -> {
            if (upstream.state() == ListedState.LEAVING) {
                listed.remove(id);
            } else {
                listed.put(id, upstream.absent());
            }
        });
    }

    private boolean absent(UpstreamId upstream) {
        return listedAs(upstream, ListedState.ABSENT);
    }

    private boolean listedAs(UpstreamId upstream, ListedState state) {
        ListedUpstream known = listed.get(upstream);
        return known != null && known.state() == state;
    }
}
