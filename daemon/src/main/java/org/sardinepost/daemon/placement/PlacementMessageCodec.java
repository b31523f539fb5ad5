package org.sardinepost.daemon.placement;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.Origin;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.ClosedUpstream;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.PlaceAnswer;
import org.sardinepost.peer.generated.PlaceEnd;
import org.sardinepost.peer.generated.PlaceRequest;
import org.sardinepost.peer.generated.PlaceResult;

/**
 * Encodes and decodes the peer messages about placement.
 *
 * <p>Points in time are sent as the time that is left until then, since the clocks of two daemons differ.
 */
final class PlacementMessageCodec {
    private static final Map<String, RefusalReason> REASONS_BY_LABEL =
            Arrays.stream(RefusalReason.values()).collect(Collectors.toMap(RefusalReason::label, Function.identity()));

    private PlacementMessageCodec() {}

    static PeerMessage encodeRequest(long call, String service, DispatchRequest request, long nowNanos) {
        return PeerMessage.newBuilder()
                .setPlaceRequest(PlaceRequest.newBuilder()
                        .setCall(call)
                        .setService(service)
                        .setPriority(request.priority())
                        .setTargetLeftMs(millis(request.targetNanos() - nowNanos))
                        .setDeadlineLeftMs(millis(request.deadlineNanos() - nowNanos))
                        .addAllExcluded(request.excluded().stream()
                                .map(UpstreamId::toString)
                                .toList())
                        .setFailureDomain(request.origin().failureDomain())
                        .setKind(request.kind())
                        .addAllClosed(encodeClosed(request, nowNanos))
                        .setSentAhead(request.sentAhead()))
                .build();
    }

    private static List<ClosedUpstream> encodeClosed(DispatchRequest request, long nowNanos) {
        return request.closedUntilNanos().entrySet().stream()
                .map(entry -> ClosedUpstream.newBuilder()
                        .setAddress(entry.getKey().toString())
                        .setLeftMs(Math.max(0, TimeUnit.NANOSECONDS.toMillis(entry.getValue() - nowNanos)))
                        .build())
                .toList();
    }

    private static Map<UpstreamId, Long> decodeClosed(PlaceRequest message, long nowNanos) {
        Map<UpstreamId, Long> untilNanos = new HashMap<>();
        for (ClosedUpstream closed : message.getClosedList()) {
            UpstreamId.parse(closed.getAddress())
                    .ifPresent(upstream ->
                            untilNanos.put(upstream, nowNanos + TimeUnit.MILLISECONDS.toNanos(closed.getLeftMs())));
        }
        return untilNanos;
    }

    static DispatchRequest decodeRequest(UpstreamId sender, PlaceRequest message, long nowNanos) {
        Set<UpstreamId> excluded = message.getExcludedList().stream()
                .flatMap(address -> UpstreamId.parse(address).stream())
                .collect(Collectors.toSet());
        return new DispatchRequest(
                nowNanos + nanos(message.getDeadlineLeftMs()),
                0,
                0,
                excluded,
                nowNanos + nanos(message.getTargetLeftMs()),
                message.getPriority(),
                new Origin(sender.toString(), message.getFailureDomain()),
                message.getKind(),
                decodeClosed(message, nowNanos),
                message.getSentAhead());
    }

    static PeerMessage encodeGrant(long call, Dispatch dispatch) {
        return toMessage(PlaceAnswer.newBuilder()
                .setCall(call)
                .setUpstream(dispatch.upstream().toString())
                .setInstance(dispatch.instance().orElse("")));
    }

    static PeerMessage encodeWaiting(long call) {
        return toMessage(PlaceAnswer.newBuilder().setCall(call).setWaiting(true));
    }

    static PeerMessage encodeRefusal(long call, RefusedException refusal) {
        return toMessage(PlaceAnswer.newBuilder()
                .setCall(call)
                .setRefusal(refusal.reason().label())
                .setDetail(refusal.detail())
                .setRetryAfterMs(
                        refusal.retryAfter().map(Duration::toMillis).orElse(0L).intValue()));
    }

    /** Returns the refusal in a response; empty if the response contains none. */
    static Optional<RefusedException> decodeRefusal(PlaceAnswer answer) {
        return Optional.ofNullable(REASONS_BY_LABEL.get(answer.getRefusal())).map(reason -> new RefusedException(
                        reason, "the coordinator of the service refused the call: " + answer.getDetail())
                .withRetryAfter(Duration.ofMillis(answer.getRetryAfterMs())));
    }

    static PeerMessage encodeEnd(long call, String service, DispatchResult result) {
        PlaceEnd.Builder end = PlaceEnd.newBuilder()
                .setCall(call)
                .setService(service)
                .setResult(toWire(result.kind()))
                .setLeaving(result.leaving());
        result.load().ifPresent(load -> end.setLoadKnown(true)
                .setInFlight(load.inFlight())
                .setSlots(load.slots())
                .setPacePercent(load.slowdownPercent()));
        result.retryAfter().ifPresent(delay -> end.setRetryAfterMs(Math.max(1, delay.toMillis())));
        return PeerMessage.newBuilder().setPlaceEnd(end).build();
    }

    static DispatchResult decodeEnd(PlaceEnd end) {
        Optional<ReportedLoad> load = end.getLoadKnown()
                ? Optional.of(new ReportedLoad(end.getInFlight(), end.getSlots(), end.getPacePercent()))
                : Optional.empty();
        Optional<Duration> retryAfter =
                Optional.of(Duration.ofMillis(end.getRetryAfterMs())).filter(delay -> !delay.isZero());
        return new DispatchResult(fromWire(end.getResult()), load, end.getLeaving(), retryAfter);
    }

    private static PeerMessage toMessage(PlaceAnswer.Builder answer) {
        return PeerMessage.newBuilder().setPlaceAnswer(answer).build();
    }

    private static PlaceResult toWire(DispatchResult.Kind kind) {
        return switch (kind) {
            case ANSWERED -> PlaceResult.PLACE_RESULT_ANSWERED;
            case FAILED -> PlaceResult.PLACE_RESULT_FAILED;
            case REFUSED -> PlaceResult.PLACE_RESULT_REFUSED;
            case CONNECT_FAILED -> PlaceResult.PLACE_RESULT_CONNECT_FAILED;
            case CANCELLED -> PlaceResult.PLACE_RESULT_CANCELLED;
        };
    }

    private static DispatchResult.Kind fromWire(PlaceResult result) {
        return switch (result) {
            case PLACE_RESULT_ANSWERED -> DispatchResult.Kind.ANSWERED;
            case PLACE_RESULT_FAILED -> DispatchResult.Kind.FAILED;
            case PLACE_RESULT_REFUSED -> DispatchResult.Kind.REFUSED;
            case PLACE_RESULT_CONNECT_FAILED -> DispatchResult.Kind.CONNECT_FAILED;
            case PLACE_RESULT_CANCELLED, UNRECOGNIZED -> DispatchResult.Kind.CANCELLED;
        };
    }

    private static int millis(long nanos) {
        return (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    private static long nanos(int millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
