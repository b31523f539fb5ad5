package org.sardinepost.core.call;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against reading a delay into a value that states none. */
final class RetryAfterTest {
    private static Optional<Duration> parse(String value) {
        return RetryAfter.parse(value, Optional.empty());
    }

    @Nested
    class Seconds {
        @Test
        void areReadWithAndWithoutFraction() {
            assertThat(parse("4")).hasValue(Duration.ofSeconds(4));
            assertThat(parse(" 0.25 ")).hasValue(Duration.ofMillis(250));
            assertThat(parse("31536000")).hasValue(Duration.ofDays(365));
        }

        @ParameterizedTest
        @ValueSource(strings = {"0", "0.0", "000"})
        void thatAreZeroStateNoDelay(String value) {
            assertThat(parse(value)).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "soon",
                "-1",
                "+1",
                "1e3",
                "1,5",
                "0x10",
                "1.",
                ".5",
                "NaN",
                "Infinity",
                "4 s",
                "9999999999999999999"
            })
    void otherValuesAreIgnored(String value) {
        assertThat(parse(value)).isEmpty();
    }

    @Nested
    class Dates {
        private static final String SENT = "Sat, 05 Dec 2026 12:00:00 GMT";

        @Test
        void countFromTheDateOfTheResponse() {
            assertThat(RetryAfter.parse("Sat, 05 Dec 2026 12:00:04 GMT", Optional.of(SENT)))
                    .hasValue(Duration.ofSeconds(4));
        }

        @Test
        void thatHavePassedStateNoDelay() {
            assertThat(RetryAfter.parse("Sat, 05 Dec 2026 11:59:00 GMT", Optional.of(SENT)))
                    .isEmpty();
        }

        @Test
        void areIgnoredIfTheResponseHasNoDate() {
            assertThat(parse("Sat, 05 Dec 2026 12:00:04 GMT")).isEmpty();
            assertThat(RetryAfter.parse("Sat, 05 Dec 2026 12:00:04 GMT", Optional.of("today")))
                    .isEmpty();
        }
    }
}
