package org.sardinepost.core.token;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.routing.UpstreamId;

/** Guards against accepting altered or forged tokens. */
class IdempotencyTokenTest {
    private static final TokenIssuer ISSUER = issuer(1);

    private static TokenIssuer issuer(long seed) {
        byte[] secret = new byte[IncarnationKey.LENGTH_BYTES];
        new Random(seed).nextBytes(secret);
        return new TokenIssuer(new UpstreamId("127.0.0.1", 8082), 42, new IncarnationKey(secret));
    }

    @Property(seed = "1")
    void encodedTokenParsesToSameToken(
            @ForAll long issuedAtNanos, @ForAll long sequence, @ForAll @IntRange(min = 0) int generation) {
        IdempotencyToken token = ISSUER.sign(issuedAtNanos, sequence, generation);
        assertThat(IdempotencyToken.parse(token.encode())).hasValue(token);
        assertThat(ISSUER.verifies(token)).isTrue();
    }

    @Property(seed = "2")
    void alteredTokenIsNeverAccepted(@ForAll @IntRange(min = 0, max = 77) int index, @ForAll char replacement) {
        String text = ISSUER.sign(5, 6, 0).encode();
        String altered = text.substring(0, index) + replacement + text.substring(index + 1);
        boolean accepted =
                IdempotencyToken.parse(altered).filter(ISSUER::verifies).isPresent();
        assertThat(accepted).isEqualTo(altered.equals(text));
    }

    @Nested
    class Rejects {
        @Test
        void tokenOfAnotherKey() {
            assertThat(issuer(2).verifies(ISSUER.sign(5, 6, 0))).isFalse();
        }

        @Test
        void textThatIsNotAToken() {
            assertThat(IdempotencyToken.parse("")).isEmpty();
            assertThat(IdempotencyToken.parse("order-17")).isEmpty();
            assertThat(IdempotencyToken.parse("A".repeat(10_000))).isEmpty();
        }

        @Test
        void paddingAfterTheToken() {
            assertThat(IdempotencyToken.parse(ISSUER.sign(5, 6, 0).encode() + "="))
                    .isEmpty();
        }
    }

    @Test
    void fingerprintDistinguishesMethodTargetAndBody() {
        RequestFingerprint first = RequestFingerprint.of("POST", "/ab", new byte[0]);
        assertThat(RequestFingerprint.of("POST/", "ab", new byte[0])).isNotEqualTo(first);
        assertThat(RequestFingerprint.of("POST", "/a", new byte[] {'b'})).isNotEqualTo(first);
    }
}
