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

    @Nested
    class Allows {
        @Test
        void exactlyTheShare() {
            recordCalls(100, 0);
            long retries =
                    IntStream.range(0, 100).filter(i -> budget.tryRetry(0)).count();
            assertThat(retries).isEqualTo(10);
        }

        @Test
        void balanceOfRecentSeconds() {
            recordCalls(10, 0);
            assertThat(budget.tryRetry(9 * SECOND_NANOS)).isTrue();
        }
    }

    @Nested
    class Refuses {
        @Test
        void retryBeforeAnyCall() {
            assertThat(budget.tryRetry(0)).isFalse();
        }

        @Test
        void balanceOlderThanTheWindow() {
            recordCalls(1000, 0);
            assertThat(budget.tryRetry(10 * SECOND_NANOS)).isFalse();
        }

        @Test
        void balanceFromBeforeALongPause() {
            recordCalls(1000, 0);
            assertThat(budget.tryRetry(3600 * SECOND_NANOS)).isFalse();
        }
    }
}
