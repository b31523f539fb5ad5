package org.sardinepost.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.membership.LeavingMark;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.LeavingSignal;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** Encodes and decodes leaving marks in load batches. A mark belongs to an address, so its service name is empty. */
final class LeavingMessages {
    static final String NO_SERVICE = "";

    private LeavingMessages() {}

    static PeerMessage encode(Map<UpstreamId, List<LeavingMark>> marks, long nowNanos) {
        ServiceLoad.Builder loads = ServiceLoad.newBuilder().setService(NO_SERVICE);
        marks.forEach((upstream, marksOfUpstream) ->
                marksOfUpstream.forEach(mark -> loads.addUpstreams(encode(upstream, mark, nowNanos))));
        return PeerMessage.newBuilder()
                .setLoadBatch(LoadBatch.newBuilder().addServices(loads))
                .build();
    }

    private static UpstreamLoad.Builder encode(UpstreamId upstream, LeavingMark mark, long nowNanos) {
        return UpstreamLoad.newBuilder()
                .setAddress(upstream.toString())
                .setLeaving(toWire(mark.signal()))
                .setLeavingAgeMs(ageMillis(mark, nowNanos))
                .setLeavingInstance(mark.instance().orElse(""));
    }

    static Optional<org.sardinepost.core.membership.LeavingSignal> fromWire(LeavingSignal signal) {
        return switch (signal) {
            case LEAVING_SIGNAL_ANSWER_HEADER -> Optional.of(
                    org.sardinepost.core.membership.LeavingSignal.ANSWER_HEADER);
            case LEAVING_SIGNAL_VM_LIST -> Optional.of(org.sardinepost.core.membership.LeavingSignal.VM_LIST);
            case LEAVING_SIGNAL_REFUSED_CONNECTION -> Optional.of(
                    org.sardinepost.core.membership.LeavingSignal.REFUSED_CONNECTION);
            case LEAVING_SIGNAL_NONE, UNRECOGNIZED -> Optional.empty();
        };
    }

    private static LeavingSignal toWire(org.sardinepost.core.membership.LeavingSignal signal) {
        return switch (signal) {
            case ANSWER_HEADER -> LeavingSignal.LEAVING_SIGNAL_ANSWER_HEADER;
            case VM_LIST -> LeavingSignal.LEAVING_SIGNAL_VM_LIST;
            case REFUSED_CONNECTION -> LeavingSignal.LEAVING_SIGNAL_REFUSED_CONNECTION;
        };
    }

    private static int ageMillis(LeavingMark mark, long nowNanos) {
        long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - mark.observedNanos());
        return (int) Math.min(Math.max(age, 0), Integer.MAX_VALUE);
    }
}
