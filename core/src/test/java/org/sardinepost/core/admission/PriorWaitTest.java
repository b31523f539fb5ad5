package org.sardinepost.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against retries mistaken for first attempts and first attempts mistaken for retries. */
final class PriorWaitTest {
    private final PriorWait priorWait = new PriorWait();

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void firstAttemptHasNoPriorWait() {
        assertThat(priorWait.nanos("lookup", millis(1_200), 0)).isEqualTo(0);
        assertThat(priorWait.nanos("lookup", millis(1_200), millis(5))).isEqualTo(0);
    }

    @Test
    void retryHasWaitedForReductionOfRemainingTime() {
        priorWait.nanos("lookup", millis(1_200), 0);

        assertThat(priorWait.nanos("lookup", millis(900), millis(300))).isEqualTo(millis(300));
    }

    @Test
    void kindsAreIndependent() {
        priorWait.nanos("report", millis(3_000), 0);

        assertThat(priorWait.nanos("lookup", millis(1_200), 0)).isEqualTo(0);
    }

    @Test
    void maximumExpiresWhenNoLongerObserved() {
        priorWait.nanos("lookup", millis(3_000), 0);
        priorWait.nanos("lookup", millis(1_200), millis(31_000));

        assertThat(priorWait.nanos("lookup", millis(1_200), millis(62_000))).isEqualTo(0);
    }
}
