package org.sardinepost.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.call.CallContext;

/** Guards against retries that multiply across nested levels until the deepest service can't recover. */
class AmplificationTest {
    private static final int LEVELS = 10;
    private static final int CALLS = 10_000;
    private static final long CALL_NANOS = 1_000_000L;
    private static final double MAX_DISPATCHES_PER_CALL = 1.1;

    private final List<RetryPolicy> policies = new ArrayList<>();
    private final int[] calls = new int[LEVELS];
    private final int[] dispatches = new int[LEVELS];

    AmplificationTest() {
        IntStream.range(0, LEVELS).forEach(i -> policies.add(new RetryPolicy(new RetryBudget(0.1))));
    }

    /**
     * Calls one level and dispatches until the call succeeds or the policy stops retrying; returns whether it
     * succeeded.
     */
    private boolean call(int level, int attemptsLeft, long nowNanos) {
        policies.get(level).recordCall(nowNanos);
        calls[level]++;
        int left = attemptsLeft - 1;
        while (!dispatch(level, left, nowNanos)) {
            FailedAttempt attempt = new FailedAttempt(true, false, left, nowNanos + CALL_NANOS);
            if (!policies.get(level).retry(attempt, nowNanos)) {
                return false;
            }
            left--;
        }
        return true;
    }

    /** Dispatches fail on every upstream of the deepest service. */
    private boolean dispatch(int level, int attemptsLeft, long nowNanos) {
        dispatches[level]++;
        return level < LEVELS - 1 && call(level + 1, attemptsLeft + 1, nowNanos);
    }

    @Nested
    class AllUpstreamsOfTheDeepestServiceFail {
        @Test
        void eachLevelDispatchesAtMostElevenTimesForTenCalls() {
            for (int i = 0; i < CALLS; i++) {
                call(0, CallContext.MAX_ATTEMPTS, i * CALL_NANOS);
            }
            for (int level = 0; level < LEVELS; level++) {
                double perCall = (double) dispatches[level] / calls[level];
                assertThat(perCall).isAtMost(MAX_DISPATCHES_PER_CALL);
            }
        }
    }

    @Nested
    class Policy {
        private final RetryPolicy policy = new RetryPolicy(new RetryBudget(1));

        Policy() {
            policy.recordCall(0);
        }

        @Test
        void repeatsAnIdempotentRequest() {
            assertThat(policy.retry(new FailedAttempt(true, false, 1, 10), 0)).isTrue();
        }

        @Test
        void repeatsARequestThatDidNotRun() {
            assertThat(policy.retry(new FailedAttempt(false, true, 1, 10), 0)).isTrue();
        }

        @Test
        void neverRepeatsARequestThatMayHaveRun() {
            assertThat(policy.retry(new FailedAttempt(false, false, 1, 10), 0)).isFalse();
        }

        @Test
        void stopsWithoutAttemptsOrTime() {
            assertThat(policy.retry(new FailedAttempt(true, true, 0, 10), 0)).isFalse();
            assertThat(policy.retry(new FailedAttempt(true, true, 1, 10), 10)).isFalse();
        }
    }
}
