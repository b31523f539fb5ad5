package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.List;
import org.sardinepost.core.configuration.TextDigest;

/** Converts between digests and their bytes in peer messages. */
final class Digests {
    private Digests() {}

    static TextDigest fromWire(ByteString digest) {
        return TextDigest.fromBytes(digest.toByteArray());
    }

    static List<TextDigest> fromWire(Collection<ByteString> digests) {
        return digests.stream().map(Digests::fromWire).toList();
    }

    static ByteString toWire(TextDigest digest) {
        return ByteString.copyFrom(digest.bytes());
    }

    static List<ByteString> toWire(Collection<TextDigest> digests) {
        return digests.stream().map(Digests::toWire).toList();
    }
}
