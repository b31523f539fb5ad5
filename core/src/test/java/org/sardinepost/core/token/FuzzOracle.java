package org.sardinepost.core.token;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Test oracle that counts executions per token and checks every outcome that is reported to a caller. */
final class FuzzOracle {
    final Set<String> events = new TreeSet<>();
    private final Map<String, Integer> executions = new HashMap<>();
    private final Map<String, StoredResponse> responses = new HashMap<>();
    private final Set<String> writtenIds = new HashSet<>();
    private final Set<IdempotencyToken> writtenTokens = new HashSet<>();
    private final Set<IdempotencyToken> notRunTokens = new HashSet<>();

    private static String id(IdempotencyToken token) {
        return token.incarnation() + "/" + token.sequence();
    }

    void recordWrite(IdempotencyToken token) {
        writtenIds.add(id(token));
        writtenTokens.add(token);
        checkNotDispatched(token);
    }

    void recordExecution(IdempotencyToken token) {
        events.add("executed");
        int count = executions.merge(id(token), 1, Integer::sum);
        assertWithMessage("executions of token %s", id(token)).that(count).isAtMost(1);
    }

    /**
     * Returns a response that contains the fingerprint of its request, so that the replay of another response is
     * detected.
     */
    StoredResponse response(FuzzSend send, int extraBytes) {
        String body = send.request().digest() + " execution " + executions.get(id(send.token()));
        List<ResponseHeader> headers = List.of(new ResponseHeader("X-Extra", "x".repeat(extraBytes)));
        StoredResponse response = new StoredResponse(201, headers, body.getBytes(StandardCharsets.UTF_8));
        responses.putIfAbsent(id(send.token()), response);
        return response;
    }

    void checkOutcome(FuzzSend send, TokenOutcome outcome) {
        if (outcome instanceof TokenOutcome.Answered answered) {
            checkResponse(send, answered.response());
        } else if (outcome instanceof TokenOutcome.NotRun notRun) {
            recordNotRun(send, notRun.renewed());
        }
    }

    void checkResponse(FuzzSend send, StoredResponse response) {
        assertWithMessage("response of %s", id(send.token())).that(response).isEqualTo(responses.get(id(send.token())));
        String body = new String(response.body(), StandardCharsets.UTF_8);
        assertWithMessage("request of the response")
                .that(body)
                .startsWith(send.request().digest());
    }

    void recordNotRun(FuzzSend send, IdempotencyToken renewed) {
        events.add("reported not-run");
        assertWithMessage("tokens written before the not-run outcome")
                .that(writtenIds)
                .doesNotContain(id(send.token()));
        notRunTokens.add(send.token());
        send.callerRequest().tokens.add(renewed);
        checkNotDispatched(send.token());
    }

    /** Checks that a token that was reported as not run is never dispatched, even if a message with it is delayed. */
    private void checkNotDispatched(IdempotencyToken token) {
        boolean notRunAndWritten = notRunTokens.contains(token) && writtenTokens.contains(token);
        assertWithMessage("token %s reported as not run and dispatched", token)
                .that(notRunAndWritten)
                .isFalse();
    }

    void checkLimits(FuzzDaemon daemon) {
        TokenTableUsage usage = daemon.table.usage();
        assertWithMessage("own entries").that(usage.ownEntries()).isAtMost(FuzzDaemon.ENTRIES);
        assertWithMessage("adopted entries").that(usage.adoptedEntries()).isAtMost(FuzzDaemon.ENTRIES);
        assertWithMessage("response bytes").that(usage.responseBytes()).isAtMost(FuzzDaemon.RESPONSE_BYTES);
        assertWithMessage("response bytes").that(usage.responseBytes()).isAtLeast(0);
    }
}
