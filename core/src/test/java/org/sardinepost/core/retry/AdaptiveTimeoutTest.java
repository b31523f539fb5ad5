package org.sardinepost.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a timeout that a slow peer never meets, and against one that grows without need. */
final class AdaptiveTimeoutTest {
    private static final long MILLIS = 1_000_000L;
    private static final long NO_LIMIT = Long.MAX_VALUE;

    private final AdaptiveTimeout timeout = new AdaptiveTimeout(Duration.ofMillis(40));

    private void record(int count, long millis) {
        for (int i = 0; i < count; i++) {
            timeout.recordResponse(millis * MILLIS);
        }
    }

    @Test
    void isTheMinimumWithoutResponses() {
        assertThat(timeout.nanos(NO_LIMIT)).isEqualTo(40 * MILLIS);
    }

    @Test
    void remainsTheMinimumForFastResponses() {
        record(100, 3);

        assertThat(timeout.nanos(NO_LIMIT)).isEqualTo(40 * MILLIS);
    }

    @Test
    void exceedsTheResponseTimeOfASlowPeer() {
        for (int i = 0; i < 50; i++) {
            record(1, 50);
            record(1, 70);
        }

        assertThat(timeout.nanos(NO_LIMIT)).isGreaterThan(70 * MILLIS);
        assertThat(timeout.nanos(NO_LIMIT)).isLessThan(150 * MILLIS);
    }

    @Test
    void returnsToTheMinimumWhenThePeerIsFastAgain() {
        record(20, 90);
        record(40, 5);

        assertThat(timeout.nanos(NO_LIMIT)).isEqualTo(40 * MILLIS);
    }

    @Test
    void doesNotExceedTheLimitUnlessThatIsBelowTheMinimum() {
        record(20, 300);

        assertThat(timeout.nanos(100 * MILLIS)).isEqualTo(100 * MILLIS);
        assertThat(timeout.nanos(-5)).isEqualTo(40 * MILLIS);
    }
}
