package org.sardinepost.core.token;

import java.nio.ByteBuffer;

/** An HMAC-SHA256 truncated to 16 bytes. */
public record TokenMac(long high, long low) {
    static final int LENGTH_BYTES = 16;

    static TokenMac read(ByteBuffer buffer) {
        return new TokenMac(buffer.getLong(), buffer.getLong());
    }

    void write(ByteBuffer buffer) {
        buffer.putLong(high).putLong(low);
    }

    /** Compares in constant time to prevent forging a token by measuring response times. */
    boolean matches(TokenMac other) {
        return ((high ^ other.high) | (low ^ other.low)) == 0;
    }
}
