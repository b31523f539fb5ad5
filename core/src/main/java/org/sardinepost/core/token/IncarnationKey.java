package org.sardinepost.core.token;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret HMAC key that one daemon incarnation signs its tokens with. */
public final class IncarnationKey {
    static final int LENGTH_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";

    private final byte[] secret;

    /** Creates a key from {@value #LENGTH_BYTES} random bytes. */
    public IncarnationKey(byte[] secret) {
        if (secret.length != LENGTH_BYTES) {
            throw new IllegalArgumentException(
                    "the key has " + secret.length + " bytes; pass " + LENGTH_BYTES + " random bytes");
        }
        this.secret = secret.clone();
    }

    TokenMac sign(byte[] content) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            return TokenMac.read(ByteBuffer.wrap(mac.doFinal(content)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime lacks " + ALGORITHM, e);
        }
    }

    byte[] secret() {
        return secret.clone();
    }
}
