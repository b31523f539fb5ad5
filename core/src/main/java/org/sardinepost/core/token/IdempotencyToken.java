package org.sardinepost.core.token;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Objects;
import java.util.Optional;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Names the one daemon incarnation that may dispatch a non-idempotent request.
 *
 * @param issuer peer address of the daemon that issued the token
 * @param incarnation random number that the issuer chose at its start
 * @param issuedAtNanos issue time on the issuer's monotonic clock
 * @param sequence number of the table entry that was reserved for the token
 * @param generation how often the token was renewed after a send that did not run
 * @param mac signature over the other fields
 */
public record IdempotencyToken(
        UpstreamId issuer, long incarnation, long issuedAtNanos, long sequence, int generation, TokenMac mac) {
    private static final byte FORMAT_VERSION = 1;
    private static final int FIXED_BYTES = Byte.BYTES + 3 * Long.BYTES + Integer.BYTES;
    private static final int MAX_ADDRESS_BYTES = 64;
    private static final int MAX_TEXT_CHARS = 160;

    public IdempotencyToken {
        Objects.requireNonNull(issuer);
        Objects.requireNonNull(mac);
    }

    /** The text in the {@code Idempotency-Token} header. */
    public String encode() {
        byte[] signed = signedContent(issuer, incarnation, issuedAtNanos, sequence, generation);
        ByteBuffer buffer = ByteBuffer.allocate(TokenMac.LENGTH_BYTES + signed.length);
        mac.write(buffer);
        buffer.put(signed);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(buffer.array());
    }

    /** Parses the text of a header; empty if it is not exactly what {@link #encode} gives. */
    public static Optional<IdempotencyToken> parse(String text) {
        if (text.length() > MAX_TEXT_CHARS) {
            return Optional.empty();
        }
        // Base64 decoders ignore spare bits, so only a token that encodes to the same text is accepted.
        return decode(text).flatMap(IdempotencyToken::read).filter(token -> token.encode()
                .equals(text));
    }

    static byte[] signedContent(
            UpstreamId issuer, long incarnation, long issuedAtNanos, long sequence, int generation) {
        byte[] address = issuer.toString().getBytes(StandardCharsets.UTF_8);
        ByteBuffer buffer = ByteBuffer.allocate(FIXED_BYTES + address.length);
        buffer.put(FORMAT_VERSION);
        buffer.putLong(incarnation).putLong(issuedAtNanos).putLong(sequence);
        buffer.putInt(generation);
        buffer.put(address);
        return buffer.array();
    }

    private static Optional<byte[]> decode(String text) {
        try {
            return Optional.of(Base64.getUrlDecoder().decode(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<IdempotencyToken> read(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int addressBytes = bytes.length - TokenMac.LENGTH_BYTES - FIXED_BYTES;
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
