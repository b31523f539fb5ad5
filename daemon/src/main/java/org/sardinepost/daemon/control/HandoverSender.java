package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.HandoverFrame;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** Sends token tables to peers. All state is confined to the control thread. */
final class HandoverSender implements HandoverTransport {
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final long ACK_TIMEOUT_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 10;

    private final String region;
    private final PeerTable peers;
    private final ControlThread control;
    private final DoubleSupplier random;
    private final Map<Long, Handover> handovers = new HashMap<>();

    HandoverSender(String region, PeerTable peers, ControlThread control, DoubleSupplier random) {
        this.region = region;
        this.peers = peers;
        this.control = control;
        this.random = random;
    }

    @Override
    public CompletableFuture<Void> send(long incarnation, List<byte[]> frames) {
        CompletableFuture<Void> acknowledged = new CompletableFuture<>();
        control.execute(() -> start(incarnation, frames, acknowledged));
        return acknowledged;
    }

    void handleAck(long senderIncarnation, long incarnation) {
        Handover handover = handovers.get(incarnation);
        if (handover != null && handover.targetIncarnation == senderIncarnation) {
            handovers.remove(incarnation);
            LogEvent.HANDOVER_SENT.info(incarnation, handover.target.address());
            handover.acknowledged.complete(null);
        }
    }

    private void start(long incarnation, List<byte[]> frames, CompletableFuture<Void> acknowledged) {
        Optional<Peer> target = chooseTarget();
        if (target.isEmpty()) {
            fail(incarnation, acknowledged, "no peer is connected; start another daemon before stopping this one");
            return;
        }
        Handover handover = new Handover(incarnation, List.copyOf(frames), target.get(), acknowledged);
        handovers.put(incarnation, handover);
        attempt(handover);
    }

    /** Prefers peers of the same region, since they take over this daemon's callers. */
    private Optional<Peer> chooseTarget() {
        List<Peer> active = peers.activePeers();
        List<Peer> sameRegion = active.stream()
                .filter(peer -> peer.hello()
                        .filter(hello -> hello.getRegion().equals(region))
                        .isPresent())
                .toList();
        List<Peer> candidates = sameRegion.isEmpty() ? active : sameRegion;
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int index = (int) (random.getAsDouble() * candidates.size());
        return Optional.of(candidates.get(Math.min(index, candidates.size() - 1)));
    }

    /**
     * Sends all frames. A retry must go to the same process, since two holders of one table could dispatch the same
     * request twice.
     */
    private void attempt(Handover handover) {
        if (!handovers.containsKey(handover.incarnation)) {
            return;
        }
        if (!handover.targetUnchanged()) {
            abort(handover, "peer " + handover.target.address() + " restarted before acknowledging the token table");
            return;
        }
        if (handover.attempts++ >= MAX_ATTEMPTS) {
            abort(
                    handover,
                    "peer " + handover.target.address() + " did not acknowledge the token table; check the network");
            return;
        }
        sendFrame(handover, 0);
    }

    private void sendFrame(Handover handover, int index) {
        if (index == handover.frames.size()) {
            control.schedule(ACK_TIMEOUT_MILLIS, () -> attempt(handover));
            return;
        }
        var unused = peers.send(handover.target, message(handover, index))
                .whenCompleteAsync(
                        (sent, failure) -> {
                            if (failure == null) {
                                sendFrame(handover, index + 1);
                            } else {
                                control.schedule(RETRY_DELAY_MILLIS, () -> attempt(handover));
                            }
                        },
                        control);
    }

    private static PeerMessage message(Handover handover, int index) {
        return PeerMessage.newBuilder()
                .setHandoverFrame(HandoverFrame.newBuilder()
                        .setIncarnation(handover.incarnation)
                        .setTargetIncarnation(handover.targetIncarnation)
                        .setIndex(index)
                        .setLast(index == handover.frames.size() - 1)
                        .setContent(ByteString.copyFrom(handover.frames.get(index))))
                .build();
    }

    private void abort(Handover handover, String reason) {
        handovers.remove(handover.incarnation);
        fail(handover.incarnation, handover.acknowledged, reason);
    }

    private static void fail(long incarnation, CompletableFuture<Void> acknowledged, String reason) {
        LogEvent.HANDOVER_FAILED.warn(incarnation, reason);
        acknowledged.completeExceptionally(new HandoverFailedException(reason));
    }

    private static final class Handover {
        private final long incarnation;
        private final List<byte[]> frames;
        private final Peer target;
        private final long targetIncarnation;
        private final CompletableFuture<Void> acknowledged;
        private int attempts;

        Handover(long incarnation, List<byte[]> frames, Peer target, CompletableFuture<Void> acknowledged) {
            this.incarnation = incarnation;
            this.frames = frames;
            this.target = target;
            this.targetIncarnation = target.hello().orElseThrow().getIncarnation();
            this.acknowledged = acknowledged;
        }

        boolean targetUnchanged() {
            return target.hello()
                    .map(Hello::getIncarnation)
                    .filter(current -> current == targetIncarnation)
                    .isPresent();
        }
    }
}
