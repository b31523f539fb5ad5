package org.sardinepost.core.token;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;

/** What must be equal in every send under one token: method, target and body. */
public record RequestFingerprint(String digest) {
    /** The fingerprint of a request. Only a digest is kept, because targets may be as long as the header limit. */
    public static RequestFingerprint of(String method, String target, byte[] body) {
        MessageDigest sha = sha256();
        update(sha, method);
        update(sha, target);
        sha.update(body);
        return new RequestFingerprint(Base64.getEncoder().withoutPadding().encodeToString(sha.digest()));
    }

    /** Each text ends with a zero byte, so that no two different requests have the same digested bytes. */
    private static void update(MessageDigest sha, String text) {
        sha.update(text.getBytes(StandardCharsets.UTF_8));
        sha.update((byte) 0);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
