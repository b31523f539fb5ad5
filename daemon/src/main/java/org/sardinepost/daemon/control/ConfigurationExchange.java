package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.sardinepost.core.configuration.AcceptedText;
import org.sardinepost.core.configuration.ConfigurationHolder;
import org.sardinepost.core.configuration.OfferDecision;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.core.configuration.TextParts;
import org.sardinepost.core.text.SectionSplitter;
import org.sardinepost.core.text.TextSection;
import org.sardinepost.peer.generated.ConfigurationOffer;
import org.sardinepost.peer.generated.ConfigurationParts;
import org.sardinepost.peer.generated.ConfigurationRequest;
import org.sardinepost.peer.generated.PeerMessage;

/**
 * Exchanges services texts with peers, transferring only the sections that the receiver lacks.
 *
 * <p>Each daemon offers the text that it holds to each connected peer and records the last offer sent, so that an offer
 * that could not be sent is repeated on the next tick.
 */
final class ConfigurationExchange {
    private static final Comparator<PeerOffer> BY_PRECEDENCE = Comparator.comparingLong(PeerOffer::version)
            .thenComparing(Comparator.comparing(PeerOffer::position).reversed());

    private final ConfigurationController configuration;
    private final PeerTable peers;
    private final Clock clock;
    private Optional<TextTransfer> transfer = Optional.empty();
    /** After a change, most peers request the same sections. */
    private Optional<SentParts> lastSent = Optional.empty();

    ConfigurationExchange(ConfigurationController configuration, PeerTable peers, Clock clock) {
        this.configuration = configuration;
        this.peers = peers;
        this.clock = clock;
    }

    /**
     * Resends offers that could not be sent, and replaces a transfer that timed out by one from the best offer that is
     * left.
     */
    void tick() {
        announce();
        if (transfer.filter(current -> current.expired(clock.nanos())).isPresent()) {
            // A peer that did not respond is not asked again until it sends another offer.
            transfer.ifPresent(this::clearOffer);
            transfer = Optional.empty();
        }
        requestBest();
    }

    /** Offers the active text to each connected peer to which it was not yet offered. */
    void announce() {
        PeerOffer held = PeerOffer.of(holder().activeText());
        peers.connected().stream()
                .filter(peer -> !peer.lastSentOffer().equals(Optional.of(held)))
                .forEach(peer -> sendOffer(peer, held, 0));
    }

    /** Returns whether a peer is passing on a newer text. A transfer that takes too long does not count. */
    boolean receiving() {
        return transfer.filter(current -> !current.expired(clock.nanos())).isPresent();
    }

    void handleOffer(Peer peer, ConfigurationOffer message) {
        PeerOffer offer = PeerOffer.of(message);
        peer.recordOffer(offer, clock.nanos());
        holder().recordPosition(offer.position(), offer.digest());
        configuration.recordPeerOffer(offer);
        if (message.getSectionDigestsCount() > 0) {
            handleSectionDigests(peer, offer, Digests.fromWire(message.getSectionDigestsList()));
        }
        requestBest();
    }

    void handleRequest(Peer peer, ConfigurationRequest request) {
        Optional<AcceptedText> held =
                holder().activeText().filter(text -> text.digest().equals(Digests.fromWire(request.getDigest())));
        if (held.isEmpty()) {
            sendOffer(peer, PeerOffer.of(holder().activeText()), request.getEcho());
        } else if (request.getSectionDigestsCount() == 0) {
            sendSectionDigests(peer, held.get());
        } else {
            sendSections(peer, held.get(), request);
        }
    }

    void handleParts(Peer peer, ConfigurationParts parts) {
        TextDigest digest = Digests.fromWire(parts.getDigest());
        currentTransfer(peer, digest)
                .filter(current -> current.digests().isPresent())
                .ifPresent(current -> assemble(current, () -> sections(parts)));
    }

    private static List<String> sections(ConfigurationParts parts) {
        return parts.getSectionsDeflated().isEmpty()
                ? parts.getSectionsList()
                : SectionSplitter.split(DeflatedText.inflate(parts.getSectionsDeflated())).stream()
                        .map(TextSection::content)
                        .toList();
    }

    private void requestBest() {
        if (transfer.isPresent()) {
            return;
        }
        peers.connected().stream()
                .filter(peer -> peer.offer().filter(this::isWanted).isPresent())
                .max(Comparator.comparing(peer -> peer.offer().orElseThrow(), BY_PRECEDENCE))
                .ifPresent(this::request);
    }

    private boolean isWanted(PeerOffer offer) {
        return offer.version() > 0 && holder().shouldFetch(offer.version(), offer.position(), offer.digest());
    }

    private void request(Peer peer) {
        PeerOffer offer = peer.offer().orElseThrow();
        transfer = Optional.of(new TextTransfer(peer.address(), offer, Optional.empty(), clock.nanos()));
        sendRequest(peer, offer.digest(), List.of());
    }

    /** Requests the sections that this daemon lacks, given the digests of all sections. */
    private void handleSectionDigests(Peer peer, PeerOffer offer, List<TextDigest> digests) {
        Optional<TextTransfer> current = currentTransfer(peer, offer.digest());
        if (current.isEmpty() || !TextDigest.ofAll(digests).equals(offer.digest())) {
            return;
        }
        TextTransfer described = current.get().withDigests(digests);
        transfer = Optional.of(described);
        Collection<TextDigest> missingDigests = heldParts().missing(digests);
        if (missingDigests.isEmpty()) {
            assemble(described, List::of);
        } else {
            sendRequest(peer, offer.digest(), missingDigests);
        }
    }

    private void assemble(TextTransfer current, Supplier<List<String>> sections) {
        TextParts held = heldParts();
        configuration.offerParts(
                current.offer().position(),
                () -> TextParts.assemble(current.digests().orElseThrow(), held, sections.get()),
                decision -> finishTransfer(current, decision));
    }

    /** Clears the offer that a transfer is for, unless the peer has sent another one since. */
    private void clearOffer(TextTransfer ended) {
        peers.find(ended.peerAddress())
                .filter(peer -> peer.offer().equals(Optional.of(ended.offer())))
                .ifPresent(Peer::clearOffer);
    }

    private void finishTransfer(TextTransfer finished, OfferDecision decision) {
        transfer = transfer.filter(current -> !current.equals(finished));
        if (!decision.changed()) {
            // Without the offer, a text that this daemon refuses is not requested from the peer again.
            clearOffer(finished);
        }
        announce();
        requestBest();
    }

    private Optional<TextTransfer> currentTransfer(Peer peer, TextDigest digest) {
        return transfer.filter(current -> current.peerAddress().equals(peer.address()))
                .filter(current -> current.offer().digest().equals(digest));
    }

    private TextParts heldParts() {
        return holder().activeText().map(AcceptedText::parts).orElse(TextParts.empty());
    }

    private ConfigurationHolder holder() {
        return configuration.holder();
    }

    private void sendOffer(Peer peer, PeerOffer held, long echo) {
        peer.setLastSentOffer(Optional.of(held));
        ConfigurationOffer offer = held.toMessageBuilder().setEcho(echo).build();
        var unused = peers.send(
                        peer,
                        PeerMessage.newBuilder().setConfigurationOffer(offer).build())
                .whenComplete((sent, failure) -> {
                    if (failure != null) {
                        configuration.runOnControlThread(() -> peer.setLastSentOffer(Optional.empty()));
                    }
                });
    }

    private void sendSectionDigests(Peer peer, AcceptedText held) {
        ConfigurationOffer offer = PeerOffer.of(Optional.of(held))
                .toMessageBuilder()
                .addAllSectionDigests(Digests.toWire(held.parts().digests()))
                .build();
        send(peer, PeerMessage.newBuilder().setConfigurationOffer(offer).build());
    }

    private void sendSections(Peer peer, AcceptedText held, ConfigurationRequest request) {
        if (lastSent.filter(sent -> sent.request().equals(request)).isEmpty()) {
            lastSent = Optional.of(new SentParts(request, encodeSections(held, request)));
        }
        send(peer, lastSent.orElseThrow().message());
    }

    private static PeerMessage encodeSections(AcceptedText held, ConfigurationRequest request) {
        StringBuilder sections = new StringBuilder();
        Digests.fromWire(request.getSectionDigestsList())
                .forEach(digest -> held.parts().section(digest).ifPresent(sections::append));
        ConfigurationParts parts = ConfigurationParts.newBuilder()
                .setDigest(ByteString.copyFrom(held.digest().bytes()))
                .setSectionsDeflated(DeflatedText.deflate(sections.toString()))
                .build();
        return PeerMessage.newBuilder().setConfigurationParts(parts).build();
    }

    private void sendRequest(Peer peer, TextDigest digest, Collection<TextDigest> sections) {
        ConfigurationRequest request = ConfigurationRequest.newBuilder()
                .setDigest(ByteString.copyFrom(digest.bytes()))
                .addAllSectionDigests(Digests.toWire(sections))
                .build();
        send(peer, PeerMessage.newBuilder().setConfigurationRequest(request).build());
    }

    /** Sends a message and ignores failures, since a lost message makes the transfer time out. */
    private void send(Peer peer, PeerMessage message) {
        var unused = peers.send(peer, message);
    }

    /** Sections as they were sent, to send them to further peers without encoding them again. */
    private record SentParts(ConfigurationRequest request, PeerMessage message) {}
}
