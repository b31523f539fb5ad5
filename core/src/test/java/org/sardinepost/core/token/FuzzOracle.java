package org.sardinepost.core.token;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Counts executions by token and checks everything that callers are told. */
final class FuzzOracle {
    final Set<String> events = new TreeSet<>();
    private final Map<String, Integer> executions = new HashMap<>();
    private final Map<String, StoredAnswer> answers = new HashMap<>();
    private final Set<String> written = new HashSet<>();
    private final Set<IdempotencyToken> writtenTexts = new HashSet<>();
    private final Set<IdempotencyToken> notRunTexts = new HashSet<>();

    private static String id(IdempotencyToken token) {
        return token.incarnation() + "/" + token.sequence();
    }

    void wrote(IdempotencyToken token) {
        written.add(id(token));
        writtenTexts.add(token);
        checkNotRun(token);
    }

    void executed(IdempotencyToken token) {
        events.add("executed");
        int count = executions.merge(id(token), 1, Integer::sum);
        assertWithMessage("executions of token %s", id(token)).that(count).isAtMost(1);
    }

    /** The answer names its request, so that an answer of another request is noticed. */
    StoredAnswer answer(FuzzSend send, int extraBytes) {
        String body = send.request().digest() + " execution " + executions.get(id(send.token()));
        List<AnswerHeader> headers = List.of(new AnswerHeader("X-Extra", "x".repeat(extraBytes)));
        StoredAnswer answer = new StoredAnswer(201, headers, body.getBytes(StandardCharsets.UTF_8));
        answers.putIfAbsent(id(send.token()), answer);
        return answer;
    }

    void told(FuzzSend send, TokenOutcome outcome) {
        if (outcome instanceof TokenOutcome.Answered answered) {
            toldAnswer(send, answered.answer());
        } else if (outcome instanceof TokenOutcome.NotRun notRun) {
            toldNotRun(send, notRun.renewed());
        }
    }

    void toldAnswer(FuzzSend send, StoredAnswer answer) {
        assertWithMessage("answer of %s", id(send.token())).that(answer).isEqualTo(answers.get(id(send.token())));
        String body = new String(answer.body(), StandardCharsets.UTF_8);
        assertWithMessage("request of the answer")
                .that(body)
                .startsWith(send.request().digest());
    }

    void toldNotRun(FuzzSend send, IdempotencyToken renewed) {
        events.add("told not-run");
        assertWithMessage("written tokens at not-run").that(written).doesNotContain(id(send.token()));
        notRunTexts.add(send.token());
        send.order().tokens.add(renewed);
        checkNotRun(send.token());
    }

    /** "Not run" is final for a token text, whatever is delayed on its way. */
    private void checkNotRun(IdempotencyToken token) {
        boolean both = notRunTexts.contains(token) && writtenTexts.contains(token);
        assertWithMessage("token %s told not-run and dispatched", token)
                .that(both)
                .isFalse();
    }

    void checkBounds(FuzzDaemon daemon) {
        TokenTableUsage usage = daemon.table.usage();
        assertWithMessage("own entries").that(usage.ownEntries()).isAtMost(FuzzDaemon.ENTRIES);
        assertWithMessage("adopted entries").that(usage.adoptedEntries()).isAtMost(FuzzDaemon.ENTRIES);
        assertWithMessage("answer bytes").that(usage.answerBytes()).isAtMost(FuzzDaemon.ANSWER_BYTES);
        assertWithMessage("answer bytes").that(usage.answerBytes()).isAtLeast(0);
    }
}
