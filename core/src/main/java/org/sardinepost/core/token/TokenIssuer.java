package org.sardinepost.core.token;

import java.util.Objects;
import org.sardinepost.core.routing.UpstreamId;

/**
 * The identity and the key that one daemon incarnation signs its tokens with.
 *
 * @param address peer address of the daemon
 * @param incarnation random number generated at the startup of the daemon
 * @param key random key known only to this incarnation and to the daemon that adopts its table
 */
public record TokenIssuer(UpstreamId address, long incarnation, IncarnationKey key) {
    public TokenIssuer {
        Objects.requireNonNull(address);
        Objects.requireNonNull(key);
    }

    IdempotencyToken sign(long issuedAtNanos, long sequence, int generation) {
        byte[] content = IdempotencyToken.signedBytes(address, incarnation, issuedAtNanos, sequence, generation);
        return new IdempotencyToken(address, incarnation, issuedAtNanos, sequence, generation, key.sign(content));
    }

    boolean verifies(IdempotencyToken token) {
        return sign(token.issuedAtNanos(), token.sequence(), token.generation())
                        .mac()
                        .matches(token.mac())
                && token.issuer().equals(address)
                && token.incarnation() == incarnation;
    }
}
