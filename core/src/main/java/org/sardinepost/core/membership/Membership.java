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
 * Tracks which upstreams are live or leaving, based on the VM list, this daemon's own observations and the marks of its
 * peers.
 *
 * <p>The VM list can be outdated. A leaving mark therefore overrides a list that shows the upstream as live, until the
 * mark expires or a newer list shows the upstream as newly started: live after it was leaving or absent, or live with
 * another instance name. A process that said itself that it is leaving, or that a list with instance names showed as leaving,
 * stays marked as long as it is listed: a registry that returns from an older copy lists it as live again. An
 * upstream that disappears from the list is kept until a connection to it fails or the absence policy removes it.
 *
 * <p>The upstreams of an evacuated failure domain get no requests, whatever else is known about them. Everything else is
 * tracked for them as for others, so that it holds when their domain is returned to service.
 *
 * <p>Not thread-safe: only the control thread uses it. Methods that update the state and return a boolean return
 * whether the membership changed.
 */
public final class Membership {
    private final Map<UpstreamId, ListedUpstream> listedUpstreams = new LinkedHashMap<>();
    private final Set<UpstreamId> daemons = new HashSet<>();
    private final LeavingMarks marks = new LeavingMarks();
    private final Map<UpstreamId, Absence> absences = new HashMap<>();
    private final UpstreamReturns returns = new UpstreamReturns();
    private final WarmingUpstreams warmingUpstreams = new WarmingUpstreams();
    private final AbsencePolicy absencePolicy;
    private Set<String> evacuatedDomains = Set.of();
    private Optional<Long> lastDisturbedNanos = Optional.empty();
    private boolean listApplied;
    private SourcePosition listPosition = SourcePosition.ORIGIN;

    /** Creates a membership that keeps absent upstreams until a connection to them fails. */
    public Membership() {
        this(AbsencePolicy.untilConnectionFails());
    }

    public Membership(AbsencePolicy absencePolicy) {
        this.absencePolicy = absencePolicy;
    }

    /** Applies a VM list. A list of an earlier position than the last applied one is ignored. */
    public boolean applyList(VmList list, SourcePosition position, long nowNanos) {
        if (listApplied && position.precedes(listPosition)) {
            return false;
        }
        Map<UpstreamId, ListedUpstream> listedBefore = Map.copyOf(listedUpstreams);
        Set<UpstreamId> daemonsBefore = Set.copyOf(daemons);
        Set<String> evacuatedBefore = evacuatedDomains;
        evacuatedDomains = list.evacuatedDomains();
        boolean marksChanged = applyUpstreams(list, nowNanos);
        daemons.clear();
        list.vms().stream()
                .filter(vm -> vm.role() == VmRole.DAEMON)
                .map(Vm::address)
                .forEach(daemons::add);
        listApplied = true;
        listPosition = position;
        updateReturns(nowNanos);
        boolean warmingChanged = warmingUpstreams.apply(list, nowNanos);
        return marksChanged
                || warmingChanged
                || !listedBefore.equals(listedUpstreams)
                || !daemonsBefore.equals(daemons)
                || !evacuatedBefore.equals(evacuatedDomains);
    }

    /** Records that this daemon observed that an upstream is leaving. */
    public boolean markLeaving(UpstreamId upstream, LeavingSignal signal, long nowNanos) {
        return markLeaving(upstream, signal, Optional.empty(), nowNanos);
    }

    /**
     * Records that this daemon observed that an upstream is leaving.
     *
     * @param instance the process that is leaving; empty if the mark applies to any process at the address
     */
    public boolean markLeaving(UpstreamId upstream, LeavingSignal signal, Optional<String> instance, long nowNanos) {
        return addMark(upstream, new LeavingMark(signal, instance, nowNanos, Optional.empty()), nowNanos);
    }

    /** Records that a peer observed {@code ageMillis} ago that an upstream is leaving. */
    public boolean markLeavingByPeer(
            UpstreamId peer,
            UpstreamId upstream,
            LeavingSignal signal,
            Optional<String> instance,
            long ageMillis,
            long nowNanos) {
        long observedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        return addMark(upstream, new LeavingMark(signal, instance, observedNanos, Optional.of(peer)), nowNanos);
    }

    /** Records that the registry behind the VM list was unavailable or had lost its history at this time. */
    public void registryDisturbed(long disturbedNanos) {
        lastDisturbedNanos = lastDisturbedNanos
                .filter(previous -> previous - disturbedNanos >= 0)
                .or(() -> Optional.of(disturbedNanos));
    }

    /** Records that a connection to an upstream could not be established. */
    public boolean connectionFailed(UpstreamId upstream, boolean refused, long nowNanos) {
        boolean removed = listedUpstreams.containsKey(upstream)
                && listedUpstreams.get(upstream).state() == ListedState.ABSENT;
        if (removed) {
            removeUpstream(upstream);
        }
        boolean marked = refused && markLeaving(upstream, LeavingSignal.REFUSED_CONNECTION, nowNanos);
        return removed || marked;
    }

    /** Removes expired marks and absent upstreams that are no longer kept. */
    public boolean expire(long nowNanos) {
        Set<UpstreamId> expiredMarks = marks.removeExpired(this::listedInstance, nowNanos);
        // An upstream that was marked as leaving and is no longer listed has left.
        expiredMarks.stream().filter(this::isAbsent).forEach(this::removeUpstream);
        boolean absencesExpired = removeExpiredAbsences(nowNanos);
        updateReturns(nowNanos);
        return absencesExpired || !expiredMarks.isEmpty();
    }

    public boolean leaving(UpstreamId upstream) {
        return mark(upstream).isPresent() || isListedAs(upstream, ListedState.LEAVING);
    }

    /** Returns the leaving mark that applies to the process at the address. */
    public Optional<LeavingMark> mark(UpstreamId upstream) {
        return marks.mark(upstream, listedInstance(upstream));
    }

    /** Returns all upstreams that are marked or listed as leaving. */
    public Set<UpstreamId> leavingUpstreams() {
        Set<UpstreamId> candidates = new HashSet<>(marks.upstreams());
        candidates.addAll(listedUpstreams.keySet());
        return candidates.stream().filter(this::leaving).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the marks from this daemon's own observations. Marks of peers are not forwarded, because
     * otherwise they would never expire.
     */
    public Map<UpstreamId, List<LeavingMark>> ownMarks() {
        Map<UpstreamId, List<LeavingMark>> ownMarks = new HashMap<>();
        for (UpstreamId upstream : marks.upstreams()) {
            List<LeavingMark> own = marks.marks(upstream).stream()
                    .filter(mark -> mark.peer().isEmpty())
                    .toList();
            if (!own.isEmpty()) {
                ownMarks.put(upstream, own);
            }
        }
        return ownMarks;
    }

    /** Returns the upstreams that new requests may be sent to, grouped by service. */
    public Map<String, List<Upstream>> upstreamsByService() {
        return listedUpstreams.values().stream()
                .filter(upstream -> !leaving(upstream.id()) && !evacuated(upstream))
                .collect(Collectors.groupingBy(
                        ListedUpstream::service,
                        TreeMap::new,
                        Collectors.mapping(ListedUpstream::upstream, Collectors.toUnmodifiableList())));
    }

    /** Returns the evacuated domains, with the upstreams there that are in the list or absent from it. */
    public Evacuation evacuation() {
        Map<String, Set<UpstreamId>> evacuated = listedUpstreams.values().stream()
                .filter(this::evacuated)
                .collect(Collectors.groupingBy(
                        ListedUpstream::service,
                        Collectors.mapping(ListedUpstream::id, Collectors.toUnmodifiableSet())));
        return Evacuation.of(evacuatedDomains, evacuated);
    }

    /**
     * Returns the upstreams that came back after an evacuation, with the monotonic time since when they may get requests
     * again. They may have been restarted without having reported it.
     */
    public Map<UpstreamId, Long> returnedUpstreams() {
        return returns.returnedNanos();
    }

    /** Returns since when each upstream has been listed as warming up, on the monotonic clock. */
    public Map<UpstreamId, Long> warmingUpstreams() {
        return warmingUpstreams.sinceNanos();
    }

    /** Returns the peer addresses of all daemons in the VM list, live and leaving. */
    public Set<UpstreamId> daemons() {
        return Set.copyOf(daemons);
    }

    /** Returns the upstreams that are no longer listed and not removed yet. */
    public Map<UpstreamId, Absence> absences() {
        return Map.copyOf(absences);
    }

    /** Returns the upstreams of the last list and those that are absent from it and not removed yet. */
    public Set<UpstreamId> knownUpstreams() {
        return Set.copyOf(listedUpstreams.keySet());
    }

    private boolean applyUpstreams(VmList list, long nowNanos) {
        Map<UpstreamId, ListedUpstream> currentUpstreams = new LinkedHashMap<>();
        list.vms().stream()
                .filter(vm -> vm.role() == VmRole.UPSTREAM)
                .map(ListedUpstream::of)
                .forEach(upstream -> currentUpstreams.put(upstream.id(), upstream));
        boolean changed = false;
        for (ListedUpstream upstream : currentUpstreams.values()) {
            changed |= applyUpstream(upstream, nowNanos);
        }
        return updateUnlisted(currentUpstreams.keySet(), nowNanos) || changed;
    }

    private boolean applyUpstream(ListedUpstream upstream, long nowNanos) {
        boolean newlyStarted = listApplied
                && upstream.state() == ListedState.LIVE
                && (!isListedAs(upstream.id(), ListedState.LIVE) || instanceChanged(upstream));
        boolean becameLeaving =
                upstream.state() == ListedState.LEAVING && !isListedAs(upstream.id(), ListedState.LEAVING);
        listedUpstreams.put(upstream.id(), upstream);
        absences.remove(upstream.id());
        if (newlyStarted) {
            return marks.recordStart(upstream.id(), upstream.instance(), nowNanos);
        }
        return becameLeaving && markLeaving(upstream.id(), LeavingSignal.VM_LIST, upstream.instance(), nowNanos);
    }

    private boolean updateUnlisted(Set<UpstreamId> currentUpstreams, long nowNanos) {
        Map<UpstreamId, ListedUpstream> unlistedUpstreams = new HashMap<>(listedUpstreams);
        unlistedUpstreams.keySet().removeAll(currentUpstreams);
        int disappeared = (int) unlistedUpstreams.values().stream()
                .filter(upstream -> upstream.state() == ListedState.LIVE)
                .count();
        boolean doubtful = absencePolicy.isDoubtful(disappeared, listedUpstreams.size(), lastDisturbedNanos, nowNanos);
        Absence absence = new Absence(nowNanos, doubtful);
        unlistedUpstreams.forEach((id, upstream) -> {
            if (upstream.state() == ListedState.LEAVING) {
                removeUpstream(id);
            } else {
                listedUpstreams.put(id, upstream.asAbsent());
                absences.putIfAbsent(id, absence);
            }
        });
        return removeExpiredAbsences(nowNanos);
    }

    private boolean removeExpiredAbsences(long nowNanos) {
        List<UpstreamId> expiredAbsences = absences.entrySet().stream()
                .filter(entry -> absencePolicy.shouldRemove(entry.getValue(), lastDisturbedNanos, nowNanos))
                .map(Map.Entry::getKey)
                .toList();
        expiredAbsences.forEach(this::removeUpstream);
        return !expiredAbsences.isEmpty();
    }

    private void removeUpstream(UpstreamId upstream) {
        ListedUpstream removed = listedUpstreams.remove(upstream);
        absences.remove(upstream);
        if (removed != null && removed.state() == ListedState.LEAVING) {
            returns.left(upstream);
        } else {
            returns.lost(upstream);
        }
    }

    private void updateReturns(long nowNanos) {
        if (evacuatedDomains.isEmpty() && !returns.awaited()) {
            return;
        }
        for (ListedUpstream upstream : listedUpstreams.values()) {
            if (evacuated(upstream)) {
                returns.heldBack(upstream.id());
            } else if (!leaving(upstream.id())) {
                returns.usable(upstream.id(), upstream.state(), nowNanos);
            }
        }
    }

    private boolean evacuated(ListedUpstream upstream) {
        return evacuatedDomains.contains(upstream.failureDomain());
    }

    private boolean addMark(UpstreamId upstream, LeavingMark mark, long nowNanos) {
        return marks.add(upstream, mark, listedInstance(upstream), nowNanos);
    }

    private Optional<String> listedInstance(UpstreamId upstream) {
        return Optional.ofNullable(listedUpstreams.get(upstream)).flatMap(ListedUpstream::instance);
    }

    private boolean instanceChanged(ListedUpstream upstream) {
        return !listedUpstreams.get(upstream.id()).instance().equals(upstream.instance());
    }

    private boolean isAbsent(UpstreamId upstream) {
        return isListedAs(upstream, ListedState.ABSENT);
    }

    private boolean isListedAs(UpstreamId upstream, ListedState state) {
        ListedUpstream listedUpstream = listedUpstreams.get(upstream);
        return listedUpstream != null && listedUpstream.state() == state;
    }
}
