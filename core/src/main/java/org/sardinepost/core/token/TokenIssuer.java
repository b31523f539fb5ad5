package org.sardinepost.core.token;

import java.util.Objects;
import org.sardinepost.core.routing.UpstreamId;

/**
 * The identity and the key with which one daemon incarnation signs tokens.
 *
 * @param address peer address of the daemon
 * @param incarnation random number chosen at the start of the daemon
 * @param key random key that only this incarnation, or the adopter of its table, has
 */
public record TokenIssuer(UpstreamId address, long incarnation, IncarnationKey key) {
    public TokenIssuer {
        Objects.requireNonNull(address);
        Objects.requireNonNull(key);
    }

    IdempotencyToken sign(long issuedAtNanos, long sequence, int generation) {
        byte[] content = IdempotencyToken.signedContent(address, incarnation, issuedAtNanos, sequence, generation);
        return new IdempotencyToken(address, incarnation, issuedAtNanos, sequence, generation, key.sign(content));
    }

    boolean signed(IdempotencyToken token) {
        return sign(token.issuedAtNanos(), token.sequence(), token.generation())
                        .mac()
                        .matches(token.mac())
                && token.issuer().equals(address)
                && token.incarnation() == incarnation;
    }
}
