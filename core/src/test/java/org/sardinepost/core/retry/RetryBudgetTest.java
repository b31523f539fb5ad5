package org.sardinepost.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against retries that multiply the load on a failing service. */
class RetryBudgetTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final RetryBudget budget = new RetryBudget(0.1);

    private void recordCalls(int calls, long nowNanos) {
        for (int i = 0; i < calls; i++) {
            budget.recordCall(nowNanos);
        }
    }

    /** Requests far more retries than any test grants. */
    private long retries(long nowNanos) {
        return IntStream.range(0, 1000).filter(i -> budget.tryRetry(nowNanos)).count();
    }

    @Nested
    class Allows {
        @Test
        void exactlyTheConfiguredRatio() {
            recordCalls(100, 0);
            assertThat(retries(0)).isEqualTo(10);
        }

        @Test
        void balanceOfTheLastTwoSeconds() {
            recordCalls(100, 0);
            assertThat(retries(9 * SECOND_NANOS / 5)).isEqualTo(10);
        }

        @Test
        void oneRetryForTenSlowCalls() {
            for (int i = 0; i < 10; i++) {
                recordCalls(1, 5L * i * SECOND_NANOS);
            }
            assertThat(retries(45 * SECOND_NANOS)).isEqualTo(1);
        }
    }

    @Nested
    class Refuses {
        @Test
        void retryBeforeAnyCall() {
            assertThat(retries(0)).isEqualTo(0);
        }

        @Test
        void allButThreeRetriesOfAnOldBalance() {
            recordCalls(1000, 0);
            assertThat(retries(2 * SECOND_NANOS)).isEqualTo(3);
        }

        /**
         * An outage after a quiet period: whatever the earlier balance, ten seconds exceed their ratio by at most a
         * fifth.
         */
        @Test
        void moreThanAFifthAboveTheRatioInTenSeconds() {
            long granted = 0;
            for (int step = 0; step < 200; step++) {
                recordCalls(10, step * SECOND_NANOS / 10);
                if (step >= 100) {
                    granted += retries(step * SECOND_NANOS / 10);
                }
            }

            assertThat(granted).isAtMost(100 + 20 + 3);
        }

        @Test
        void allButThreeRetriesFromBeforeALongPause() {
            recordCalls(1000, 0);
            assertThat(retries(3600 * SECOND_NANOS)).isEqualTo(3);
        }
    }
}
