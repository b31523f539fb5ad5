package org.sardinepost.daemon.control;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.membership.Absence;
import org.sardinepost.core.membership.ColdTimes;
import org.sardinepost.core.membership.Evacuation;
import org.sardinepost.core.membership.LeavingSignal;
import org.sardinepost.core.membership.Membership;
import org.sardinepost.core.membership.SourcePosition;
import org.sardinepost.core.membership.VmList;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** Updates the membership and publishes its changes to call routing and to the peers. */
final class MembershipController {
    private final Membership membership;
    private final Function<String, ValidationResult<VmList>> reader;
    private final PeerTable peers;
    private final Clock clock;
    private final Runnable onChange;
    private Set<UpstreamId> leaving = Set.of();
    private Map<UpstreamId, Long> warmingSince = Map.of();
    private Map<UpstreamId, Absence> absences = Map.of();
    private Set<UpstreamId> known = Set.of();
    private Evacuation evacuation = Evacuation.none();
    private boolean vmListRead;

    MembershipController(
            Membership membership,
            Function<String, ValidationResult<VmList>> reader,
            PeerTable peers,
            Clock clock,
            Runnable onChange) {
        this.membership = membership;
        this.reader = reader;
        this.peers = peers;
        this.clock = clock;
        this.onChange = onChange;
    }

    void applyVmList(SourcePosition position, String content) {
        ValidationResult<VmList> result = reader.apply(content);
        if (result.value().isEmpty()) {
            LogEvent.VM_LIST_REFUSED.warn(position, result.findings());
            return;
        }
        vmListRead = true;
        publishIfChanged(membership.applyList(result.value().get(), position, clock.nanos()));
    }

    /** Records that a process said in a response to this daemon that it is leaving. */
    void markLeaving(UpstreamId upstream, Optional<String> instance) {
        publishIfChanged(membership.markLeaving(upstream, LeavingSignal.ANSWER_HEADER, instance, clock.nanos()));
    }

    /** Records that the registry behind the VM list was unavailable or had lost its history at this time. */
    void registryDisturbed(long disturbedNanos) {
        membership.registryDisturbed(disturbedNanos);
    }

    void connectionFailed(UpstreamId upstream, boolean refused) {
        publishIfChanged(membership.connectionFailed(upstream, refused, clock.nanos()));
    }

    /** Applies the leaving marks in a load batch from a peer. */
    void applyPeerMarks(UpstreamId peer, LoadBatch batch) {
        boolean changed = false;
        for (ServiceLoad service : batch.getServicesList()) {
            for (UpstreamLoad load : service.getUpstreamsList()) {
                changed |= applyPeerMark(peer, load);
            }
        }
        publishIfChanged(changed);
    }

    /** Sends all leaving marks that this daemon observed to a peer that connected or requested them. */
    void sendLeavingMarks(Peer peer) {
        var unused = peers.send(peer, LeavingMessages.encode(membership.ownMarks(), clock.nanos()));
    }

    void tick() {
        publishIfChanged(membership.expire(clock.nanos()));
    }

    Map<String, List<Upstream>> upstreamsByService() {
        return membership.upstreamsByService();
    }

    Evacuation evacuation() {
        return evacuation;
    }

    /** Returns since when upstreams have been cold, on the monotonic clock. */
    Map<UpstreamId, Long> coldSince() {
        return ColdTimes.latest(warmingSince, membership.returnedUpstreams());
    }

    Set<UpstreamId> leaving() {
        return leaving;
    }

    Set<UpstreamId> daemons() {
        return membership.daemons();
    }

    /** Returns whether a valid VM list was received since the start. */
    boolean vmListRead() {
        return vmListRead;
    }

    private boolean applyPeerMark(UpstreamId peer, UpstreamLoad load) {
        Optional<LeavingSignal> signal = LeavingMessages.fromWire(load.getLeaving());
        Optional<UpstreamId> upstream = UpstreamId.parse(load.getAddress());
        if (signal.isEmpty() || upstream.isEmpty()) {
            return false;
        }
        return membership.markLeavingByPeer(
                peer,
                upstream.get(),
                signal.get(),
                Optional.of(load.getLeavingInstance()).filter(instance -> !instance.isEmpty()),
                Integer.toUnsignedLong(load.getLeavingAgeMs()),
                clock.nanos());
    }

    private void publishIfChanged(boolean changed) {
        if (!changed) {
            return;
        }
        logRemovals();
        Set<UpstreamId> before = leaving;
        leaving = membership.leavingUpstreams();
        Evacuation evacuatedBefore = evacuation;
        evacuation = membership.evacuation();
        Map<UpstreamId, Long> warmingBefore = warmingSince;
        warmingSince = membership.warmingUpstreams();
        onChange.run();
        logEvacuations(evacuatedBefore);
        difference(warmingSince.keySet(), warmingBefore.keySet()).forEach(LogEvent.UPSTREAM_COLD::info);
        difference(warmingBefore.keySet(), warmingSince.keySet()).forEach(LogEvent.UPSTREAM_WARM::info);
        difference(leaving, before).forEach(this::announceLeaving);
        difference(before, leaving).forEach(LogEvent.UPSTREAM_RETURNED::info);
    }

    private void logEvacuations(Evacuation before) {
        difference(evacuation.domains(), before.domains())
                .forEach(domain -> LogEvent.DOMAIN_EVACUATED.warn(
                        domain, evacuation.upstreams().size()));
        difference(before.domains(), evacuation.domains())
                .forEach(domain -> LogEvent.DOMAIN_RETURNED.info(
                        domain, evacuation.upstreams().size()));
    }

    /** Logs the upstreams that disappeared from the list, came back, or were removed since the last change. */
    private void logRemovals() {
        Map<UpstreamId, Absence> absentBefore = absences;
        Set<UpstreamId> knownBefore = known;
        absences = membership.absences();
        known = membership.knownUpstreams();
        difference(absences.keySet(), absentBefore.keySet())
                .forEach(upstream -> LogEvent.UPSTREAM_ABSENT.info(upstream, removalLabel(absences.get(upstream))));
        difference(absentBefore.keySet(), absences.keySet()).stream()
                .filter(known::contains)
                .forEach(upstream ->
                        LogEvent.UPSTREAM_LISTED_AGAIN.info(upstream, absentMillis(absentBefore.get(upstream))));
        difference(knownBefore, known)
                .forEach(upstream -> LogEvent.UPSTREAM_REMOVED.info(
                        upstream,
                        Optional.ofNullable(absentBefore.get(upstream))
                                .map(this::absentMillis)
                                .orElse(0L)));
    }

    private long absentMillis(Absence absence) {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanos() - absence.sinceNanos());
    }

    private static String removalLabel(Absence absence) {
        return absence.doubtful()
                ? "unless it is listed again soon, since many disappeared after the source was away"
                : "after the hold time, or when a connection to it fails";
    }

    private void announceLeaving(UpstreamId upstream) {
        membership.mark(upstream).ifPresent(mark -> {
            LogEvent.UPSTREAM_LEAVING.info(upstream, mark.signal().label());
            if (mark.peer().isEmpty()) {
                peers.sendToConnected(LeavingMessages.encode(Map.of(upstream, List.of(mark)), clock.nanos()));
            }
        });
    }

    private static <T> Set<T> difference(Set<T> all, Set<T> excluded) {
        Set<T> remaining = new HashSet<>(all);
        remaining.removeAll(excluded);
        return remaining;
    }
}
