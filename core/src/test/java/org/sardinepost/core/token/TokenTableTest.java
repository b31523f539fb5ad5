package org.sardinepost.core.token;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.UpstreamId;

/** Guards against a second dispatch under one token and against false outcomes. */
class TokenTableTest {
    private static final long LIFETIME_NANOS = Duration.ofMinutes(10).toNanos();
    private static final int ENTRIES = 2;
    private static final long ROOM_BYTES = 1000;
    private static final RequestFingerprint ORDER = RequestFingerprint.of("POST", "/orders", new byte[] {1});
    private static final RequestFingerprint OTHER_ORDER = RequestFingerprint.of("POST", "/orders", new byte[] {2});
    private final RefusedException refusal = new RefusedException(RefusalReason.UPSTREAM_FAILED, "test");
    private static final StoredAnswer ANSWER =
            new StoredAnswer(201, List.of(new AnswerHeader("Location", "/orders/1")), new byte[] {7, 8});

    private final TokenTable table = table(1);

    private static TokenTable table(long incarnation) {
        IncarnationKey key = new IncarnationKey(new byte[IncarnationKey.LENGTH_BYTES]);
        TokenIssuer issuer = new TokenIssuer(new UpstreamId("127.0.0.1", 8082), incarnation, key);
        return new TokenTable(
                issuer, new TokenTableLimits(ENTRIES, ENTRIES, ROOM_BYTES, Duration.ofNanos(LIFETIME_NANOS)));
    }

    private static TokenDecision send(TokenTable table, IdempotencyToken token, long nowNanos) {
        return table.begin(token, ORDER, 300, nowNanos);
    }

    private static DispatchPermit permit(TokenTable table, IdempotencyToken token, long nowNanos) {
        return ((TokenDecision.Dispatch) send(table, token, nowNanos)).permit();
    }

    @Nested
    class Repeat {
        private final IdempotencyToken token = table.issue(0);
        private final DispatchPermit permit = permit(table, token, 0);

        @Test
        void joinsTheCallInProgress() {
            CompletableFuture<TokenOutcome> joined = ((TokenDecision.Join) send(table, token, 0)).outcome();
            permit.answered(ANSWER);
            assertThat(joined.join()).isEqualTo(new TokenOutcome.Answered(ANSWER));
        }

        @Test
        void getsTheStoredAnswer() {
            permit.answered(ANSWER);
            assertThat(send(table, token, 1)).isEqualTo(new TokenDecision.Replay(ANSWER));
        }

        @Test
        void withAnotherBodyIsRefused() {
            assertThat(table.begin(token, OTHER_ORDER, 300, 0)).isInstanceOf(TokenDecision.Mismatch.class);
        }

        @Test
        void afterUnknownIsNeverDispatched() {
            permit.unknown(refusal);
            permit.notRun(refusal);
            assertThat(send(table, token, 1)).isInstanceOf(TokenDecision.Unknown.class);
        }

        @Test
        void afterNotRunNeedsTheRenewedToken() {
            permit.notRun(refusal);
            IdempotencyToken renewed = ((TokenDecision.Renewed) send(table, token, 1)).renewed();
            assertThat(permit.outcome().join()).isEqualTo(new TokenOutcome.NotRun(refusal, renewed));
            assertThat(send(table, renewed, 1)).isInstanceOf(TokenDecision.Dispatch.class);
            assertThat(send(table, token, 1)).isInstanceOf(TokenDecision.Join.class);
        }

        @Test
        void answerAboveItsReservationIsKeptOnlyWithinTheLimit() {
            permit.answered(new StoredAnswer(200, List.of(), new byte[2000]));
            assertThat(send(table, token, 1)).isInstanceOf(TokenDecision.Unknown.class);
            assertThat(table.usage().answerBytes()).isEqualTo(0);
        }
    }

    @Nested
    class Bounds {
        @Test
        void issueIsRefusedAtTheCapUntilATokenExpires() {
            table.issue(0);
            table.issue(1);
            RefusedException thrown = assertThrows(RefusedException.class, () -> table.issue(2));
            assertThat(thrown.reason()).isEqualTo(RefusalReason.TOKEN_TABLE_FULL);
            table.issue(LIFETIME_NANOS);
            assertThat(table.usage().ownEntries()).isEqualTo(ENTRIES);
        }

        @Test
        void requestIsNotRunWithoutRoomForItsAnswer() {
            IdempotencyToken token = table.issue(0);
            TokenDecision decision = table.begin(token, ORDER, ROOM_BYTES + 1, 0);
            IdempotencyToken renewed = ((TokenDecision.NoRoomForAnswer) decision).renewed();
            assertThat(send(table, renewed, 0)).isInstanceOf(TokenDecision.Dispatch.class);
        }

        @Test
        void unusedPartOfTheRoomIsReturned() {
            permit(table, table.issue(0), 0).answered(ANSWER);
            assertThat(table.usage().answerBytes()).isEqualTo(ANSWER.sizeBytes());
            table.issue(LIFETIME_NANOS);
            assertThat(table.usage().answerBytes()).isEqualTo(0);
        }
    }

    @Nested
    class Expiry {
        @Test
        void expiredTokenIsNotDispatched() {
            IdempotencyToken token = table.issue(0);
            assertThat(send(table, token, LIFETIME_NANOS)).isInstanceOf(TokenDecision.Expired.class);
        }

        @Test
        void tokenInProgressIsKept() {
            IdempotencyToken token = table.issue(0);
            DispatchPermit permit = permit(table, token, 0);
            assertThat(send(table, token, LIFETIME_NANOS)).isInstanceOf(TokenDecision.Join.class);
            permit.answered(ANSWER);
            assertThat(send(table, token, LIFETIME_NANOS)).isInstanceOf(TokenDecision.Expired.class);
            assertThat(table.usage().ownEntries()).isEqualTo(0);
        }
    }

    @Nested
    class Handover {
        private static final long ADOPTER_NOW = -77;
        private final TokenTable adopter = table(2);
        private final IdempotencyToken answered = table.issue(0);
        private final IdempotencyToken fresh = table.issue(0);

        private List<byte[]> image() {
            permit(table, answered, 0).answered(ANSWER);
            table.freeze().join();
            return table.image(1, LIFETIME_NANOS - 10);
        }

        @Test
        void frozenTableNeitherIssuesNorDispatches() {
            image();
            assertThrows(RefusedException.class, () -> table.issue(1));
            assertThat(send(table, fresh, 1)).isInstanceOf(TokenDecision.Frozen.class);
            table.handedOver(1);
            assertThat(send(table, fresh, 1)).isInstanceOf(TokenDecision.HandedOver.class);
        }

        @Test
        void imageIsRefusedWhileADispatchIsInProgress() {
            DispatchPermit permit = permit(table, fresh, 0);
            CompletableFuture<Void> idle = table.freeze();
            assertThrows(HandoverException.class, () -> table.image(1, 0));
            assertThat(idle.isDone()).isFalse();
            permit.unknown(refusal);
            assertThat(idle.isDone()).isTrue();
        }

        @Test
        void adopterAnswersForTheTimeThatWasLeft() {
            assertThat(adopter.adopt(image(), ADOPTER_NOW)).isEqualTo(1);
            assertThat(send(adopter, answered, ADOPTER_NOW + 9)).isEqualTo(new TokenDecision.Replay(ANSWER));
            assertThat(send(adopter, fresh, ADOPTER_NOW + 9)).isInstanceOf(TokenDecision.Dispatch.class);
            assertThat(send(adopter, answered, ADOPTER_NOW + 10)).isInstanceOf(TokenDecision.Expired.class);
        }

        @Test
        void secondCopyChangesNothing() {
            List<byte[]> image = image();
            adopter.adopt(image, ADOPTER_NOW);
            permit(adopter, fresh, ADOPTER_NOW).unknown(refusal);
            adopter.adopt(image, ADOPTER_NOW);
            assertThat(send(adopter, fresh, ADOPTER_NOW)).isInstanceOf(TokenDecision.Unknown.class);
        }

        @Test
        void copyAfterTheExpiryOfAllEntriesRevivesNoToken() {
            List<byte[]> image = image();
            adopter.adopt(image, ADOPTER_NOW);
            permit(adopter, fresh, ADOPTER_NOW).unknown(refusal);
            adopter.issue(ADOPTER_NOW + LIFETIME_NANOS);
            adopter.adopt(image, ADOPTER_NOW + LIFETIME_NANOS);
            assertThat(send(adopter, fresh, ADOPTER_NOW + LIFETIME_NANOS)).isInstanceOf(TokenDecision.Expired.class);
        }

        @Test
        void imageAboveTheCapIsRefusedWhole() {
            adopter.adopt(image(), ADOPTER_NOW);
            TokenTable third = table(3);
            third.issue(0);
            third.freeze().join();
            List<byte[]> image = third.image(3, 0);
            assertThrows(HandoverException.class, () -> adopter.adopt(image, ADOPTER_NOW));
            assertThat(adopter.heldIncarnations()).containsExactly(2L, 1L);
        }

        @Test
        void cutImageIsRefused() {
            byte[] frame = image().get(0);
            byte[] cut = Arrays.copyOf(frame, frame.length - 1);
            assertThrows(HandoverException.class, () -> adopter.adopt(List.of(cut), ADOPTER_NOW));
            assertThat(adopter.heldIncarnations()).containsExactly(2L);
        }
    }
}
