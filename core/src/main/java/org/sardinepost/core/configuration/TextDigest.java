package org.sardinepost.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;

/** A SHA-256 digest in lower-case hexadecimal. */
public record TextDigest(String hex) {
    private static final String ALGORITHM = "SHA-256";

    public TextDigest {
        Objects.requireNonNull(hex);
    }

    /** Computes the digest of a text encoded in UTF-8. */
    public static TextDigest of(String content) {
        return of(content.getBytes(StandardCharsets.UTF_8));
    }

    /** Computes the digest of a sequence of digests. */
    public static TextDigest ofAll(List<TextDigest> digests) {
        StringBuilder joined = new StringBuilder();
        digests.forEach(digest -> joined.append(digest.hex()).append('\n'));
        return of(joined.toString());
    }

    public static TextDigest fromBytes(byte[] bytes) {
        return new TextDigest(HexFormat.of().formatHex(bytes));
    }

    public byte[] bytes() {
        return HexFormat.of().parseHex(hex);
    }

    private static TextDigest of(byte[] bytes) {
        try {
            return fromBytes(MessageDigest.getInstance(ALGORITHM).digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime lacks " + ALGORITHM + "; use a complete runtime", e);
        }
    }
}
