package org.sardinepost.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against callers that came back and are taken for new ones, and against new ones that are taken for old. */
final class PriorWaitTest {
    private final PriorWait wait = new PriorWait();

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void aFirstAttemptHasNotWaited() {
        assertThat(wait.nanos("lookup", millis(1_200), 0)).isEqualTo(0);
        assertThat(wait.nanos("lookup", millis(1_200), millis(5))).isEqualTo(0);
    }

    @Test
    void aCallerThatComesBackHasWaitedForWhatItAllowsLess() {
        wait.nanos("lookup", millis(1_200), 0);

        assertThat(wait.nanos("lookup", millis(900), millis(300))).isEqualTo(millis(300));
    }

    @Test
    void kindsDoNotMix() {
        wait.nanos("report", millis(3_000), 0);

        assertThat(wait.nanos("lookup", millis(1_200), 0)).isEqualTo(0);
    }

    @Test
    void aTimeThatNoCallerAllowsAnyMoreIsForgotten() {
        wait.nanos("lookup", millis(3_000), 0);
        wait.nanos("lookup", millis(1_200), millis(31_000));

        assertThat(wait.nanos("lookup", millis(1_200), millis(62_000))).isEqualTo(0);
    }
}
