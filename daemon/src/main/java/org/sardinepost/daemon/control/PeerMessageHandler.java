package org.sardinepost.daemon.control;

import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.ConfigurationOffer;
import org.sardinepost.peer.generated.ConfigurationRequest;
import org.sardinepost.peer.generated.HandoverAck;
import org.sardinepost.peer.generated.HandoverFrame;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;

/** Gives each peer message to the part of the control side that it concerns. Runs on the control thread. */
final class PeerMessageHandler {
    private final ControlParts parts;
    private final HandoverInbox inbox;

    PeerMessageHandler(ControlParts parts) {
        this.parts = parts;
        this.inbox = new HandoverInbox(parts.held().own());
    }

    void received(Hello sender, PeerMessage message) {
        parts.peers().sender(sender).ifPresent(peer -> received(peer, sender, message));
    }

    /** Forgets what an incarnation sent. */
    void gone(long incarnation) {
        inbox.gone(incarnation);
        parts.loadReceiver().gone(incarnation);
        parts.placement().releaseIncarnation(incarnation);
    }

    private void received(Peer peer, Hello sender, PeerMessage message) {
        switch (message.getBodyCase()) {
            case LOAD_BATCH -> load(peer, sender, message.getLoadBatch());
            case CONFIGURATION_OFFER -> offer(peer, message.getConfigurationOffer());
            case CONFIGURATION_REQUEST -> request(peer, message.getConfigurationRequest());
            case CONFIGURATION_PARTS -> parts.exchange().received(peer, message.getConfigurationParts());
            case HANDOVER_FRAME -> frame(peer, sender, message.getHandoverFrame());
            case HANDOVER_ACK -> parts.handoverSender()
                    .acknowledged(
                            sender.getIncarnation(), message.getHandoverAck().getIncarnation());
            case GOODBYE -> goodbye(peer);
            case PLACE_REQUEST, PLACE_ANSWER, PLACE_END -> parts.placement()
                    .handleMessage(peer.address(), sender.getIncarnation(), message);
            case SOURCE_STATE -> parts.reading().ifPresent(reading -> reading.received(message.getSourceState()));
            case HELLO, HEARTBEAT, BODY_NOT_SET -> {}
        }
    }

    private void load(Peer peer, Hello sender, LoadBatch batch) {
        parts.membership().peerMarks(peer.address(), batch);
        parts.loadReceiver().received(sender.getIncarnation(), batch);
    }

    private void offer(Peer peer, ConfigurationOffer offer) {
        parts.start().answered(peer.address(), offer.getVersion());
        parts.exchange().offered(peer, offer);
        parts.revalidation().answered(offer.getEcho());
    }

    private void request(Peer peer, ConfigurationRequest request) {
        if (request.getDigest().isEmpty()) {
            parts.membership().sendMarks(peer);
        }
        parts.exchange().requested(peer, request);
    }

    private void frame(Peer peer, Hello sender, HandoverFrame frame) {
        inbox.add(sender.getIncarnation(), frame).ifPresent(frames -> {
            long incarnation = frame.getIncarnation();
            var unused = parts.handoverReceiver()
                    .receive(incarnation, frames)
                    .whenCompleteAsync((imported, failure) -> imported(peer, incarnation, failure), parts.control());
        });
    }

    private void imported(Peer peer, long incarnation, Throwable failure) {
        if (failure != null) {
            LogEvent.HANDOVER_FAILED.warn(incarnation, failure.getMessage());
            return;
        }
        LogEvent.HANDOVER_RECEIVED.info(incarnation, peer.address());
        parts.held().add(incarnation);
        parts.announceSelf();
        var unused = parts.peers()
                .send(
                        peer,
                        PeerMessage.newBuilder()
                                .setHandoverAck(HandoverAck.newBuilder().setIncarnation(incarnation))
                                .build());
    }

    /** A stopping daemon still finishes calls, so its loads count until its connection ends. */
    private void goodbye(Peer peer) {
        peer.saidGoodbye();
        parts.peers().publish();
    }
}
