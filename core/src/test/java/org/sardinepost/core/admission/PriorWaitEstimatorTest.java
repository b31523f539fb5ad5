package org.sardinepost.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against retries mistaken for first attempts and first attempts mistaken for retries. */
final class PriorWaitEstimatorTest {
    private final PriorWaitEstimator estimator = new PriorWaitEstimator();

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void firstAttemptHasNoPriorWait() {
        assertThat(estimator.estimateNanos("lookup", millis(1_200), 0)).isEqualTo(0);
        assertThat(estimator.estimateNanos("lookup", millis(1_200), millis(5))).isEqualTo(0);
    }

    @Test
    void retryHasWaitedForReductionOfRemainingTime() {
        estimator.estimateNanos("lookup", millis(1_200), 0);

        assertThat(estimator.estimateNanos("lookup", millis(900), millis(300))).isEqualTo(millis(300));
    }

    @Test
    void kindsAreIndependent() {
        estimator.estimateNanos("report", millis(3_000), 0);

        assertThat(estimator.estimateNanos("lookup", millis(1_200), 0)).isEqualTo(0);
    }

    @Test
    void maximumExpiresWhenNoLongerObserved() {
        estimator.estimateNanos("lookup", millis(3_000), 0);
        estimator.estimateNanos("lookup", millis(1_200), millis(31_000));

        assertThat(estimator.estimateNanos("lookup", millis(1_200), millis(62_000)))
                .isEqualTo(0);
    }
}
