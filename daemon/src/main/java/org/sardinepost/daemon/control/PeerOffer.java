package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sardinepost.core.configuration.AcceptedText;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.core.membership.SourcePosition;
import org.sardinepost.peer.generated.ConfigurationOffer;

/** Version, position in the source and digest of the services text that a daemon holds; version 0 if it holds none. */
record PeerOffer(long version, SourcePosition position, TextDigest digest) {
    static final PeerOffer NONE = new PeerOffer(0, SourcePosition.ORIGIN, TextDigest.ofAll(List.of()));

    PeerOffer {
        Objects.requireNonNull(position);
        Objects.requireNonNull(digest);
    }

    static PeerOffer of(Optional<AcceptedText> held) {
        return held.map(text -> new PeerOffer(text.version(), text.position(), text.digest()))
                .orElse(NONE);
    }

    static PeerOffer of(ConfigurationOffer message) {
        SourcePosition position = new SourcePosition(message.getEpoch(), message.getRevision());
        return new PeerOffer(message.getVersion(), position, Digests.fromWire(message.getDigest()));
    }

    ConfigurationOffer.Builder toMessageBuilder() {
        return ConfigurationOffer.newBuilder()
                .setVersion(version)
                .setRevision(position.revision())
                .setEpoch(position.epoch())
                .setDigest(ByteString.copyFrom(digest.bytes()));
    }
}
