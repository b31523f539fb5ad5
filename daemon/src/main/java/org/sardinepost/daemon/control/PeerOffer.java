package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sardinepost.core.configuration.AcceptedText;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.peer.generated.ConfigurationOffer;

/** Version, revision and digest of the services text that a daemon holds; version 0 if it holds none. */
record PeerOffer(long version, long revision, TextDigest digest) {
    static final PeerOffer NONE = new PeerOffer(0, 0, TextDigest.ofAll(List.of()));

    PeerOffer {
        Objects.requireNonNull(digest);
    }

    static PeerOffer of(Optional<AcceptedText> held) {
        return held.map(text -> new PeerOffer(text.version(), text.revision(), text.digest()))
                .orElse(NONE);
    }

    static PeerOffer of(ConfigurationOffer message) {
        return new PeerOffer(message.getVersion(), message.getRevision(), Digests.fromWire(message.getDigest()));
    }

    ConfigurationOffer.Builder toMessageBuilder() {
        return ConfigurationOffer.newBuilder()
                .setVersion(version)
                .setRevision(revision)
                .setDigest(ByteString.copyFrom(digest.bytes()));
    }
}
