package org.sardinepost.core.token;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;

/** A digest of the method, target and body of a request, which must be the same for all requests with one token. */
public record RequestFingerprint(String digest) {
    /**
     * Computes the fingerprint. Storing a digest bounds memory, because a target may be as long as the header limit.
     */
    public static RequestFingerprint of(String method, String target, byte[] body) {
        MessageDigest messageDigest = sha256();
        update(messageDigest, method);
        update(messageDigest, target);
        messageDigest.update(body);
        return new RequestFingerprint(Base64.getEncoder().withoutPadding().encodeToString(messageDigest.digest()));
    }

    /** Terminates each field with a zero byte, so that different requests never produce the same digest input. */
    private static void update(MessageDigest messageDigest, String text) {
        messageDigest.update(text.getBytes(StandardCharsets.UTF_8));
        messageDigest.update((byte) 0);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime lacks SHA-256", e);
        }
    }
}
