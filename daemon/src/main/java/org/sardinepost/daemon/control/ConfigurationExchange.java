package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sardinepost.core.configuration.AcceptedText;
import org.sardinepost.core.configuration.CandidateText;
import org.sardinepost.core.configuration.ConfigurationHolder;
import org.sardinepost.core.configuration.OfferDecision;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.core.configuration.TextOrigin;
import org.sardinepost.core.configuration.TextParts;
import org.sardinepost.peer.generated.ConfigurationOffer;
import org.sardinepost.peer.generated.ConfigurationParts;
import org.sardinepost.peer.generated.ConfigurationRequest;
import org.sardinepost.peer.generated.PeerMessage;

/**
 * Passes services texts on between daemons by their changed sections.
 *
 * <p>Each daemon tells each connected peer what it holds and remembers what it told, so that a lost offer is repeated on
 * the next tick.
 */
final class ConfigurationExchange {
    private static final Comparator<PeerOffer> BEST_LAST = Comparator.comparingLong(PeerOffer::version)
            .thenComparing(Comparator.comparingLong(PeerOffer::revision).reversed());

    private final ConfigurationControl configuration;
    private final PeerTable peers;
    private final Clock clock;
    private Optional<Transfer> transfer = Optional.empty();

    ConfigurationExchange(ConfigurationControl configuration, PeerTable peers, Clock clock) {
        this.configuration = configuration;
        this.peers = peers;
        this.clock = clock;
    }

    /** Repeats what was lost: offers to peers and requests to a peer that does not answer. */
    void tick() {
        announce();
        if (transfer.filter(running -> running.expired(clock.nanos())).isPresent()) {
            // A peer that does not answer is asked again only when it offers again.
            transfer.flatMap(running -> peers.at(running.from())).ifPresent(Peer::forgetOffer);
            transfer = Optional.empty();
        }
        requestBest();
    }

    /** Offers the text in force to the connected peers that were not told of it. */
    void announce() {
        PeerOffer held = PeerOffer.of(holder().inForce());
        peers.connected().stream()
                .filter(peer -> !peer.offeredToIt().equals(Optional.of(held)))
                .forEach(peer -> sendOffer(peer, held, 0));
    }

    void offered(Peer peer, ConfigurationOffer message) {
        PeerOffer offer = PeerOffer.of(message);
        peer.said(offer, clock.nanos());
        holder().noteSame(offer.revision(), offer.digest());
        configuration.noteOffer(offer);
        if (message.getSectionDigestsCount() > 0) {
            describe(peer, offer, Digests.fromWire(message.getSectionDigestsList()));
        }
        requestBest();
    }

    void requested(Peer peer, ConfigurationRequest request) {
        Optional<AcceptedText> held =
                holder().inForce().filter(text -> text.digest().equals(Digests.fromWire(request.getDigest())));
        if (held.isEmpty()) {
            sendOffer(peer, PeerOffer.of(holder().inForce()), request.getEcho());
        } else if (request.getSectionDigestsCount() == 0) {
            sendDescription(peer, held.get());
        } else {
            sendSections(peer, held.get(), Digests.fromWire(request.getSectionDigestsList()));
        }
    }

    void received(Peer peer, ConfigurationParts parts) {
        TextDigest digest = Digests.fromWire(parts.getDigest());
        runningTransfer(peer, digest)
                .filter(running -> running.digests().isPresent())
                .ifPresent(running -> assemble(running, parts.getSectionsList()));
    }

    private void requestBest() {
        if (transfer.isPresent()) {
            return;
        }
        peers.connected().stream()
                .filter(peer -> peer.offer().filter(this::wanted).isPresent())
                .max(Comparator.comparing(peer -> peer.offer().orElseThrow(), BEST_LAST))
                .ifPresent(this::request);
    }

    private boolean wanted(PeerOffer offer) {
        return offer.version() > 0 && holder().wants(offer.version(), offer.revision(), offer.digest());
    }

    private void request(Peer peer) {
        PeerOffer offer = peer.offer().orElseThrow();
        transfer = Optional.of(new Transfer(peer.address(), offer, Optional.empty(), clock.nanos()));
        sendRequest(peer, offer.digest(), List.of());
    }

    /** The digests of the sections arrived: ask for those that this daemon lacks. */
    private void describe(Peer peer, PeerOffer offer, List<TextDigest> digests) {
        Optional<Transfer> running = runningTransfer(peer, offer.digest());
        if (running.isEmpty() || !TextDigest.ofAll(digests).equals(offer.digest())) {
            return;
        }
        Transfer described = running.get().withDigests(digests);
        transfer = Optional.of(described);
        Collection<TextDigest> missing = heldParts().missing(digests);
        if (missing.isEmpty()) {
            assemble(described, List.of());
        } else {
            sendRequest(peer, offer.digest(), missing);
        }
    }

    private void assemble(Transfer running, List<String> sections) {
        Optional<TextParts> assembled = TextParts.assemble(running.digests().orElseThrow(), heldParts(), sections);
        if (assembled.isEmpty()) {
            return;
        }
        transfer = Optional.empty();
        OfferDecision decision = configuration.offer(
                new CandidateText(running.offer().revision(), assembled.get().text(), TextOrigin.PEER));
        if (!decision.changed()) {
            // A text that this daemon refuses is not requested from the peer again and again.
            peers.at(running.from()).ifPresent(Peer::forgetOffer);
        }
        announce();
    }

    private Optional<Transfer> runningTransfer(Peer peer, TextDigest digest) {
        return transfer.filter(running -> running.from().equals(peer.address()))
                .filter(running -> running.offer().digest().equals(digest));
    }

    private TextParts heldParts() {
        return holder().inForce().map(AcceptedText::parts).orElse(TextParts.empty());
    }

    private ConfigurationHolder holder() {
        return configuration.holder();
    }

    private void sendOffer(Peer peer, PeerOffer held, long echo) {
        peer.offered(Optional.of(held));
        ConfigurationOffer offer = held.message().setEcho(echo).build();
        var unused = peers.send(
                        peer,
                        PeerMessage.newBuilder().setConfigurationOffer(offer).build())
                .whenComplete((sent, failure) -> {
                    if (failure != null) {
                        configuration.onControl(() -> peer.offered(Optional.empty()));
                    }
                });
    }

    private void sendDescription(Peer peer, AcceptedText held) {
        ConfigurationOffer offer = PeerOffer.of(Optional.of(held))
                .message()
                .addAllSectionDigests(Digests.toWire(held.parts().digests()))
                .build();
        send(peer, PeerMessage.newBuilder().setConfigurationOffer(offer).build());
    }

    private void sendSections(Peer peer, AcceptedText held, Collection<TextDigest> wanted) {
        ConfigurationParts.Builder parts = ConfigurationParts.newBuilder()
                .setDigest(ByteString.copyFrom(held.digest().bytes()));
        wanted.forEach(digest -> held.parts().section(digest).ifPresent(parts::addSections));
        send(peer, PeerMessage.newBuilder().setConfigurationParts(parts).build());
    }

    private void sendRequest(Peer peer, TextDigest digest, Collection<TextDigest> sections) {
        ConfigurationRequest request = ConfigurationRequest.newBuilder()
                .setDigest(ByteString.copyFrom(digest.bytes()))
                .addAllSectionDigests(Digests.toWire(sections))
                .build();
        send(peer, PeerMessage.newBuilder().setConfigurationRequest(request).build());
    }

    /** A message that is lost shows as a transfer that expires. */
    private void send(Peer peer, PeerMessage message) {
        var unused = peers.send(peer, message);
    }
}
