package org.sardinepost.core.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against sending an attempt twice on a connection, where a late response to the first could be taken for the second. */
final class AttemptHistoryTest {
    private static final int ATTEMPTS = 1_000;

    @Test
    void acceptsEachAttemptOnce() {
        AttemptHistory history = new AttemptHistory();
        for (int i = 0; i < ATTEMPTS; i++) {
            assertThat(history.mayContain("a-" + i)).isFalse();
            assertThat(history.add("a-" + i)).isTrue();
        }
        for (int i = 0; i < ATTEMPTS; i++) {
            assertThat(history.mayContain("a-" + i)).isTrue();
            assertThat(history.add("a-" + i)).isFalse();
        }
    }
}
