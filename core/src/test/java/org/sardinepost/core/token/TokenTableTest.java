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

/** Guards against a second dispatch with the same token and against incorrect outcomes. */
class TokenTableTest {
    private static final long LIFETIME_NANOS = Duration.ofMinutes(10).toNanos();
    private static final int ENTRIES = 2;
    private static final long RESPONSE_BYTES = 1000;
    private static final RequestFingerprint FINGERPRINT = RequestFingerprint.of("POST", "/orders", new byte[] {1});
    private static final RequestFingerprint OTHER_FINGERPRINT =
            RequestFingerprint.of("POST", "/orders", new byte[] {2});
    private final RefusedException refusal = new RefusedException(RefusalReason.UPSTREAM_FAILED, "test");
    private static final StoredResponse RESPONSE =
            new StoredResponse(201, List.of(new ResponseHeader("Location", "/orders/1")), new byte[] {7, 8});

    private final TokenTable table = table(1);

    private static TokenTable table(long incarnation) {
        IncarnationKey key = new IncarnationKey(new byte[IncarnationKey.LENGTH_BYTES]);
        TokenIssuer issuer = new TokenIssuer(new UpstreamId("127.0.0.1", 8082), incarnation, key);
        return new TokenTable(
                issuer, new TokenTableLimits(ENTRIES, ENTRIES, RESPONSE_BYTES, Duration.ofNanos(LIFETIME_NANOS)));
    }

    private static TokenDecision send(TokenTable table, IdempotencyToken token, long nowNanos) {
        return table.begin(token, FINGERPRINT, 300, nowNanos);
    }

    private static DispatchPermit permit(TokenTable table, IdempotencyToken token, long nowNanos) {
        return ((TokenDecision.Dispatch) send(table, token, nowNanos)).permit();
    }

    @Nested
    class RepeatedRequest {
        private final IdempotencyToken token = table.issue(0);
        private final DispatchPermit permit = permit(table, token, 0);

        @Test
        void joinsTheDispatchInProgress() {
            CompletableFuture<TokenOutcome> joined = ((TokenDecision.Join) send(table, token, 0)).outcome();
            permit.answered(RESPONSE);
            assertThat(joined.join()).isEqualTo(new TokenOutcome.Answered(RESPONSE));
        }

        @Test
        void getsTheStoredResponse() {
            permit.answered(RESPONSE);
            assertThat(send(table, token, 1)).isEqualTo(new TokenDecision.Replay(RESPONSE));
        }

        @Test
        void withAnotherBodyIsRefused() {
            assertThat(table.begin(token, OTHER_FINGERPRINT, 300, 0)).isInstanceOf(TokenDecision.Mismatch.class);
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
        void responseLargerThanItsReservationIsStoredOnlyWithinTheBudget() {
            permit.answered(new StoredResponse(200, List.of(), new byte[2000]));
            assertThat(send(table, token, 1)).isInstanceOf(TokenDecision.Unknown.class);
            assertThat(table.usage().responseBytes()).isEqualTo(0);
        }
    }

    @Nested
    class Limits {
        @Test
        void issueIsRefusedAtTheLimitUntilATokenExpires() {
            table.issue(0);
            table.issue(1);
            RefusedException thrown = assertThrows(RefusedException.class, () -> table.issue(2));
            assertThat(thrown.reason()).isEqualTo(RefusalReason.TOKEN_TABLE_FULL);
            table.issue(LIFETIME_NANOS);
            assertThat(table.usage().ownEntries()).isEqualTo(ENTRIES);
        }

        @Test
        void requestIsNotDispatchedIfItsResponseExceedsTheBudget() {
            IdempotencyToken token = table.issue(0);
            TokenDecision decision = table.begin(token, FINGERPRINT, RESPONSE_BYTES + 1, 0);
            IdempotencyToken renewed = ((TokenDecision.ResponseBudgetFull) decision).renewed();
            assertThat(send(table, renewed, 0)).isInstanceOf(TokenDecision.Dispatch.class);
        }

        @Test
        void unusedReservationIsReleased() {
            permit(table, table.issue(0), 0).answered(RESPONSE);
            assertThat(table.usage().responseBytes()).isEqualTo(RESPONSE.sizeBytes());
            table.issue(LIFETIME_NANOS);
            assertThat(table.usage().responseBytes()).isEqualTo(0);
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
            permit.answered(RESPONSE);
            assertThat(send(table, token, LIFETIME_NANOS)).isInstanceOf(TokenDecision.Expired.class);
            assertThat(table.usage().ownEntries()).isEqualTo(0);
        }
    }

    @Nested
    class Handover {
        private static final long ADOPTER_NOW_NANOS = -77;
        private final TokenTable adopter = table(2);
        private final IdempotencyToken answered = table.issue(0);
        private final IdempotencyToken fresh = table.issue(0);

        private List<byte[]> exportImage() {
            permit(table, answered, 0).answered(RESPONSE);
            table.freeze().join();
            return table.exportImage(1, LIFETIME_NANOS - 10);
        }

        @Test
        void frozenTableNeitherIssuesNorDispatches() {
            exportImage();
            assertThrows(RefusedException.class, () -> table.issue(1));
            assertThat(send(table, fresh, 1)).isInstanceOf(TokenDecision.Frozen.class);
            table.markHandedOver(1);
            assertThat(send(table, fresh, 1)).isInstanceOf(TokenDecision.HandedOver.class);
        }

        @Test
        void imageIsRefusedWhileADispatchIsInProgress() {
            DispatchPermit permit = permit(table, fresh, 0);
            CompletableFuture<Void> idle = table.freeze();
            assertThrows(HandoverException.class, () -> table.exportImage(1, 0));
            assertThat(idle.isDone()).isFalse();
            permit.unknown(refusal);
            assertThat(idle.isDone()).isTrue();
        }

        @Test
        void adopterKeepsTheRemainingLifetime() {
            assertThat(adopter.adopt(exportImage(), ADOPTER_NOW_NANOS)).isEqualTo(1);
            assertThat(send(adopter, answered, ADOPTER_NOW_NANOS + 9)).isEqualTo(new TokenDecision.Replay(RESPONSE));
            assertThat(send(adopter, fresh, ADOPTER_NOW_NANOS + 9)).isInstanceOf(TokenDecision.Dispatch.class);
            assertThat(send(adopter, answered, ADOPTER_NOW_NANOS + 10)).isInstanceOf(TokenDecision.Expired.class);
        }

        @Test
        void duplicateImageHasNoEffect() {
            List<byte[]> image = exportImage();
            adopter.adopt(image, ADOPTER_NOW_NANOS);
            permit(adopter, fresh, ADOPTER_NOW_NANOS).unknown(refusal);
            adopter.adopt(image, ADOPTER_NOW_NANOS);
            assertThat(send(adopter, fresh, ADOPTER_NOW_NANOS)).isInstanceOf(TokenDecision.Unknown.class);
        }

        @Test
        void duplicateImageAfterExpiryRestoresNoToken() {
            List<byte[]> image = exportImage();
            adopter.adopt(image, ADOPTER_NOW_NANOS);
            permit(adopter, fresh, ADOPTER_NOW_NANOS).unknown(refusal);
            adopter.issue(ADOPTER_NOW_NANOS + LIFETIME_NANOS);
            adopter.adopt(image, ADOPTER_NOW_NANOS + LIFETIME_NANOS);
            assertThat(send(adopter, fresh, ADOPTER_NOW_NANOS + LIFETIME_NANOS))
                    .isInstanceOf(TokenDecision.Expired.class);
        }

        @Test
        void imageAboveTheLimitIsRefusedEntirely() {
            adopter.adopt(exportImage(), ADOPTER_NOW_NANOS);
            TokenTable third = table(3);
            third.issue(0);
            third.freeze().join();
            List<byte[]> image = third.exportImage(3, 0);
            assertThrows(HandoverException.class, () -> adopter.adopt(image, ADOPTER_NOW_NANOS));
            assertThat(adopter.heldIncarnations()).containsExactly(2L, 1L);
        }

        @Test
        void truncatedImageIsRefused() {
            byte[] frame = exportImage().get(0);
            byte[] truncated = Arrays.copyOf(frame, frame.length - 1);
            assertThrows(HandoverException.class, () -> adopter.adopt(List.of(truncated), ADOPTER_NOW_NANOS));
            assertThat(adopter.heldIncarnations()).containsExactly(2L);
        }
    }
}
