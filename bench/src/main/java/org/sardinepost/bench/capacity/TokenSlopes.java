package org.sardinepost.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.token.IdempotencyToken;
import org.sardinepost.core.token.IncarnationKey;
import org.sardinepost.core.token.RequestFingerprint;
import org.sardinepost.core.token.StoredAnswer;
import org.sardinepost.core.token.TokenDecision;
import org.sardinepost.core.token.TokenIssuer;
import org.sardinepost.core.token.TokenTable;
import org.sardinepost.core.token.TokenTableLimits;

/** Cost of the token table over its number of tokens. */
final class TokenSlopes {
    private static final int[] TOKENS = {1_000, 10_000, 20_000};
    private static final int ANSWER_BYTES = 512;
    private static final int OPERATIONS_PER_RUN = 100;
    private static final long ANSWER_LIMIT_BYTES = 1L << 30;
    private static final String SIZE_UNIT = "tokens in the table";

    private TokenSlopes() {}

    static List<Slope> measure() {
        return List.of(
                slope(
                        "memory of issued tokens",
                        "KiB",
                        tokens -> Sampler.retainedKibibytes(() -> table(tokens, false))),
                slope(
                        "memory with answers of 512 bytes",
                        "KiB",
                        tokens -> Sampler.retainedKibibytes(() -> table(tokens, true))),
                slope("issue, begin and end of one token", "us", TokenSlopes::cycleMicros),
                slope("image for a hand-over, 512-byte answers", "bytes", TokenSlopes::imageBytes),
                slope("write the image for a hand-over", "us", TokenSlopes::imageMicros));
    }

    private static Slope slope(String name, String unit, IntToDoubleFunction value) {
        return Slopes.over(name, SIZE_UNIT, unit, TOKENS, value);
    }

    private static TokenIssuer issuer() {
        byte[] key = new byte[32];
        new Random(1).nextBytes(key);
        return new TokenIssuer(new UpstreamId("10.0.0.1", 8082), 1, new IncarnationKey(key));
    }

    private static TokenTable table(int tokens, boolean answered) {
        // Room for the tokens that the timed cycles add.
        TokenTable table = new TokenTable(issuer(), TokenTableLimits.of(tokens * 2 + 100_000, ANSWER_LIMIT_BYTES));
        for (int i = 0; i < tokens; i++) {
            IdempotencyToken token = table.issue(0);
            if (answered) {
                answer(table, token, i);
            }
        }
        return table;
    }

    private static void answer(TokenTable table, IdempotencyToken token, int number) {
        RequestFingerprint request = RequestFingerprint.of("POST", "/orders/" + number, new byte[64]);
        TokenDecision decision = table.begin(token, request, ANSWER_BYTES, 0);
        ((TokenDecision.Dispatch) decision).permit().answered(new StoredAnswer(200, List.of(), new byte[ANSWER_BYTES]));
    }

    private static double cycleMicros(int tokens) {
        TokenTable table = table(tokens, true);
        return Sampler.medianMicros(() -> {
                    for (int i = 0; i < OPERATIONS_PER_RUN; i++) {
                        answer(table, table.issue(0), i);
                    }
                    return table;
                })
                / OPERATIONS_PER_RUN;
    }

    private static List<byte[]> image(int tokens) {
        TokenTable table = table(tokens, true);
        table.freeze().join();
        return new ArrayList<>(table.image(1, 0));
    }

    private static double imageBytes(int tokens) {
        return image(tokens).stream().mapToDouble(frame -> frame.length).sum();
    }

    private static double imageMicros(int tokens) {
        TokenTable table = table(tokens, true);
        table.freeze().join();
        return Sampler.medianMicros(() -> table.image(1, 0));
    }
}
