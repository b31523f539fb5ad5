package org.sardinepost.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.token.IdempotencyToken;
import org.sardinepost.core.token.IncarnationKey;
import org.sardinepost.core.token.RequestFingerprint;
import org.sardinepost.core.token.StoredResponse;
import org.sardinepost.core.token.TokenDecision;
import org.sardinepost.core.token.TokenIssuer;
import org.sardinepost.core.token.TokenTable;
import org.sardinepost.core.token.TokenTableLimits;

/** Measures the cost of the token table against its number of tokens. */
final class TokenTableCosts {
    private static final int[] TOKEN_COUNTS = {1_000, 10_000, 20_000};
    private static final int RESPONSE_BYTES = 512;
    private static final int OPERATIONS_PER_RUN = 100;
    private static final long ANSWER_LIMIT_BYTES = 1L << 30;
    private static final String SIZE_UNIT = "tokens in the table";

    private TokenTableCosts() {}

    static List<LinearFit> measure() {
        return List.of(
                fit(
                        "memory of issued tokens",
                        "KiB",
                        tokens -> MicroBenchmark.retainedKibibytes(() -> table(tokens, false))),
                fit(
                        "memory with answers of 512 bytes",
                        "KiB",
                        tokens -> MicroBenchmark.retainedKibibytes(() -> table(tokens, true))),
                fit("issue, begin and end of one token", "us", TokenTableCosts::tokenLifecycleMicros),
                fit("image for a hand-over, 512-byte answers", "bytes", TokenTableCosts::imageBytes),
                fit("write the image for a hand-over", "us", TokenTableCosts::imageMicros));
    }

    private static LinearFit fit(String name, String unit, IntToDoubleFunction cost) {
        return LinearFits.measureCost(name, SIZE_UNIT, unit, TOKEN_COUNTS, cost);
    }

    private static TokenIssuer issuer() {
        byte[] key = new byte[32];
        new Random(1).nextBytes(key);
        return new TokenIssuer(new UpstreamId("10.0.0.1", 8082), 1, new IncarnationKey(key));
    }

    private static TokenTable table(int tokens, boolean withResponses) {
        // Reserves capacity for the tokens that the timed operations add.
        TokenTable table = new TokenTable(issuer(), TokenTableLimits.of(tokens * 2 + 100_000, ANSWER_LIMIT_BYTES));
        for (int i = 0; i < tokens; i++) {
            IdempotencyToken token = table.issue(0);
            if (withResponses) {
                completeCall(table, token, i);
            }
        }
        return table;
    }

    private static void completeCall(TokenTable table, IdempotencyToken token, int number) {
        RequestFingerprint request = RequestFingerprint.of("POST", "/orders/" + number, new byte[64]);
        TokenDecision decision = table.begin(token, request, RESPONSE_BYTES, 0);
        ((TokenDecision.Dispatch) decision)
                .permit()
                .answered(new StoredResponse(200, List.of(), new byte[RESPONSE_BYTES]));
    }

    private static double tokenLifecycleMicros(int tokens) {
        TokenTable table = table(tokens, true);
        return MicroBenchmark.medianMicros(() -> {
                    for (int i = 0; i < OPERATIONS_PER_RUN; i++) {
                        completeCall(table, table.issue(0), i);
                    }
                    return table;
                })
                / OPERATIONS_PER_RUN;
    }

    private static List<byte[]> imageFrames(int tokens) {
        TokenTable table = table(tokens, true);
        table.freeze().join();
        return new ArrayList<>(table.exportImage(1, 0));
    }

    private static double imageBytes(int tokens) {
        return imageFrames(tokens).stream().mapToDouble(frame -> frame.length).sum();
    }

    private static double imageMicros(int tokens) {
        TokenTable table = table(tokens, true);
        table.freeze().join();
        return MicroBenchmark.medianMicros(() -> table.exportImage(1, 0));
    }
}
