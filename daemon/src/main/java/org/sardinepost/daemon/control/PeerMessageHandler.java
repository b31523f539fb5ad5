package org.sardinepost.daemon.control;

import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.ConfigurationOffer;
import org.sardinepost.peer.generated.ConfigurationRequest;
import org.sardinepost.peer.generated.HandoverAck;
import org.sardinepost.peer.generated.HandoverFrame;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;

/** Passes each peer message to the component that handles it. Runs on the control thread. */
final class PeerMessageHandler {
    private final ControlComponents components;
    private final HandoverAssembler assembler;

    PeerMessageHandler(ControlComponents components) {
        this.components = components;
        this.assembler = new HandoverAssembler(components.heldIncarnations().own());
    }

    void handle(Hello sender, PeerMessage message) {
        components.peers().findSender(sender).ifPresent(peer -> handle(peer, sender, message));
    }

    /** Discards the state that was received from a peer process that stopped or was disconnected. */
    void removeIncarnation(long incarnation) {
        assembler.removeSender(incarnation);
        components.loadReceiver().removeIncarnation(incarnation);
        components.placement().releaseIncarnation(incarnation);
    }

    private void handle(Peer peer, Hello sender, PeerMessage message) {
        switch (message.getBodyCase()) {
            case LOAD_BATCH -> handleLoadBatch(peer, sender, message.getLoadBatch());
            case CONFIGURATION_OFFER -> handleOffer(peer, message.getConfigurationOffer());
            case CONFIGURATION_REQUEST -> handleRequest(peer, message.getConfigurationRequest());
            case CONFIGURATION_PARTS -> components.exchange().handleParts(peer, message.getConfigurationParts());
            case HANDOVER_FRAME -> handleHandoverFrame(peer, sender, message.getHandoverFrame());
            case HANDOVER_ACK -> components
                    .handoverSender()
                    .handleAck(sender.getIncarnation(), message.getHandoverAck().getIncarnation());
            case GOODBYE -> handleGoodbye(peer);
            case PLACE_REQUEST, PLACE_ANSWER, PLACE_END -> components
                    .placement()
                    .handleMessage(peer.address(), sender.getIncarnation(), message);
            case SOURCE_STATE -> components
                    .sourceReader()
                    .ifPresent(reader -> reader.handleState(peer, message.getSourceState()));
            case SOURCE_STATE_REQUEST -> components.sourceReader().ifPresent(reader -> reader.handleStateRequest(peer));
            case PEERS_REQUEST -> components.discovery().handleRequest(peer);
            case PEER_ADDRESSES -> components.discovery().handleAddresses(message.getPeerAddresses());
            case HELLO, HEARTBEAT, BODY_NOT_SET -> {}
        }
    }

    private void handleLoadBatch(Peer peer, Hello sender, LoadBatch batch) {
        components.membership().applyPeerMarks(peer.address(), batch);
        components.loadReceiver().handleBatch(sender.getIncarnation(), batch);
    }

    private void handleOffer(Peer peer, ConfigurationOffer offer) {
        components.startup().recordResponse(peer.address(), offer.getVersion());
        components.exchange().handleOffer(peer, offer);
        components.revalidation().handleEcho(offer.getEcho());
    }

    private void handleRequest(Peer peer, ConfigurationRequest request) {
        if (request.getDigest().isEmpty()) {
            components.membership().sendLeavingMarks(peer);
        }
        components.exchange().handleRequest(peer, request);
    }

    private void handleHandoverFrame(Peer peer, Hello sender, HandoverFrame frame) {
        assembler.add(sender.getIncarnation(), frame).ifPresent(frames -> {
            long incarnation = frame.getIncarnation();
            var unused = components
                    .handoverReceiver()
                    .receive(incarnation, frames)
                    .whenCompleteAsync(
                            (imported, failure) -> handoverImported(peer, incarnation, failure), components.control());
        });
    }

    private void handoverImported(Peer peer, long incarnation, Throwable failure) {
        if (failure != null) {
            LogEvent.HANDOVER_FAILED.warn(incarnation, failure.getMessage());
            return;
        }
        LogEvent.HANDOVER_RECEIVED.info(incarnation, peer.address());
        components.heldIncarnations().add(incarnation);
        components.broadcastHello();
        var unused = components
                .peers()
                .send(
                        peer,
                        PeerMessage.newBuilder()
                                .setHandoverAck(HandoverAck.newBuilder().setIncarnation(incarnation))
                                .build());
    }

    /** Marks the peer as stopping. Its loads count until its connection ends, since it still finishes calls. */
    private void handleGoodbye(Peer peer) {
        peer.markStopping();
        components.peers().publishSnapshots();
    }
}
