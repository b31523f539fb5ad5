package org.sardinepost.core.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against calls that are queued although upstreams have capacity. */
final class ConcurrencyWindowTest {
    private static final long ROUND_NANOS = 100_000_000L;

    private final ConcurrencyWindow window = new ConcurrencyWindow();

    @Nested
    class MaxWindow {
        @Test
        void increaseGrowsUnreducedWindow() {
            window.setMax(0);
            window.setMax(40);

            assertThat(window.allows(39)).isTrue();
            assertThat(window.allows(40)).isFalse();
        }

        @Test
        void increaseKeepsReducedWindow() {
            window.setMax(40);
            window.recordRefusal(1, ROUND_NANOS);
            window.setMax(80);

            assertThat(window.allows(40)).isFalse();
        }

        @Test
        void decreaseShrinksWindow() {
            window.setMax(40);
            window.setMax(20);

            assertThat(window.allows(20)).isFalse();
        }
    }
}
