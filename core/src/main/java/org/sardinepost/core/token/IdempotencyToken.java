package org.sardinepost.core.token;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Objects;
import java.util.Optional;
import org.sardinepost.core.routing.UpstreamId;

/**
 * A signed token that identifies the only daemon incarnation allowed to dispatch a non-idempotent request.
 *
 * @param issuer peer address of the daemon that issued the token
 * @param incarnation random number that the issuer generated at startup
 * @param issuedAtNanos issue time on the issuer's monotonic clock
 * @param sequence sequence number of the table entry that was created for the token
 * @param generation number of times the token was renewed because its request had not run
 * @param mac message authentication code over the other fields
 */
public record IdempotencyToken(
        UpstreamId issuer, long incarnation, long issuedAtNanos, long sequence, int generation, TokenMac mac) {
    private static final byte FORMAT_VERSION = 1;
    private static final int FIXED_FIELDS_BYTES = Byte.BYTES + 3 * Long.BYTES + Integer.BYTES;
    private static final int MAX_ADDRESS_BYTES = 64;
    private static final int MAX_ENCODED_CHARS = 160;

    public IdempotencyToken {
        Objects.requireNonNull(issuer);
        Objects.requireNonNull(mac);
    }

    /** Returns the value of the {@code Idempotency-Token} header. */
    public String encode() {
        byte[] signed = signedBytes(issuer, incarnation, issuedAtNanos, sequence, generation);
        ByteBuffer buffer = ByteBuffer.allocate(TokenMac.LENGTH_BYTES + signed.length);
        mac.write(buffer);
        buffer.put(signed);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(buffer.array());
    }

    /** Parses a header value; returns empty unless it is exactly the output of {@link #encode}. */
    public static Optional<IdempotencyToken> parse(String text) {
        if (text.length() > MAX_ENCODED_CHARS) {
            return Optional.empty();
        }
        // The Base64 decoder ignores trailing bits and accepts padding, so several texts decode to the same bytes.
        // Only the text that encode() returns is accepted.
        return decodeBase64(text).flatMap(IdempotencyToken::readFields).filter(token -> token.encode()
                .equals(text));
    }

    static byte[] signedBytes(UpstreamId issuer, long incarnation, long issuedAtNanos, long sequence, int generation) {
        byte[] address = issuer.toString().getBytes(StandardCharsets.UTF_8);
        ByteBuffer buffer = ByteBuffer.allocate(FIXED_FIELDS_BYTES + address.length);
        buffer.put(FORMAT_VERSION);
        buffer.putLong(incarnation).putLong(issuedAtNanos).putLong(sequence);
        buffer.putInt(generation);
        buffer.put(address);
        return buffer.array();
    }

    private static Optional<byte[]> decodeBase64(String text) {
        try {
            return Optional.of(Base64.getUrlDecoder().decode(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<IdempotencyToken> readFields(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int addressBytes = bytes.length - TokenMac.LENGTH_BYTES - FIXED_FIELDS_BYTES;
        if (addressBytes < 1 || addressBytes > MAX_ADDRESS_BYTES) {
            return Optional.empty();
        }
        TokenMac mac = TokenMac.read(buffer);
        if (buffer.get() != FORMAT_VERSION) {
            return Optional.empty();
        }
        long incarnation = buffer.getLong();
        long issuedAtNanos = buffer.getLong();
        long sequence = buffer.getLong();
        int generation = buffer.getInt();
        String address = StandardCharsets.UTF_8.decode(buffer).toString();
        return UpstreamId.parse(address)
                .map(issuer -> new IdempotencyToken(issuer, incarnation, issuedAtNanos, sequence, generation, mac));
    }
}
