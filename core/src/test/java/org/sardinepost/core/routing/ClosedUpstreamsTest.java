package org.sardinepost.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusedException;

/** Guards against calls before the time that an upstream asked for has passed, and against waiting longer than that. */
final class ClosedUpstreamsTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final UpstreamId FIRST = new UpstreamId("10.0.0.1", 80);
    private static final UpstreamId SECOND = new UpstreamId("10.0.0.2", 80);
    private static final Optional<String> INSTANCE = Optional.of("i-1.1");

    private final ClosedUpstreams closed = new ClosedUpstreams(new SplittableRandom(1));

    private void close(UpstreamId upstream, Duration delay, long atSeconds) {
        closed.record(upstream, INSTANCE, delay, atSeconds * SECOND_NANOS);
    }

    private boolean isClosed(double atSeconds) {
        return closed.isClosed(FIRST, (long) (atSeconds * SECOND_NANOS));
    }

    @Nested
    class Closure {
        @Test
        void lastsForTheWholeTimeAndEndsSoonAfterIt() {
            close(FIRST, Duration.ofSeconds(4), 10);

            assertThat(isClosed(13.999)).isTrue();
            assertThat(isClosed(14.41)).isFalse();
        }

        @Test
        void isNotShortenedByAnotherRefusal() {
            close(FIRST, Duration.ofSeconds(4), 10);
            close(FIRST, Duration.ofSeconds(1), 10);

            assertThat(isClosed(13.999)).isTrue();
        }

        @Test
        void ofAYearIsKept() {
            close(FIRST, Duration.ofDays(365), 0);
            close(SECOND, Duration.ofSeconds(Long.MAX_VALUE), 0);

            assertThat(isClosed(364 * 86_400.0)).isTrue();
            assertThat(closed.isClosed(SECOND, Duration.ofDays(364).toNanos())).isTrue();
        }

        @Test
        void ofZeroIsNone() {
            close(FIRST, Duration.ZERO, 10);

            assertThat(isClosed(10)).isFalse();
        }

        @Test
        void endsWithTheInstance() {
            close(FIRST, Duration.ofSeconds(4), 10);
            closed.setUpstreams(List.of(new Upstream(FIRST, "a", INSTANCE)));
            assertThat(isClosed(11)).isTrue();
            closed.setUpstreams(List.of(new Upstream(FIRST, "a", Optional.of("i-1.2"))));

            assertThat(isClosed(11)).isFalse();
        }

        @Test
        void survivesTheAbsenceOfTheInstance() {
            close(FIRST, Duration.ofSeconds(4), 10);
            closed.setUpstreams(List.of());
            closed.setUpstreams(List.of(new Upstream(FIRST, "a", INSTANCE)));

            assertThat(isClosed(11)).isTrue();
        }
    }

    @Nested
    class Refusal {
        @Test
        void namesTheTimeAtWhichTheFirstUpstreamOpens() {
            close(FIRST, Duration.ofSeconds(4), 10);
            close(SECOND, Duration.ofSeconds(2), 10);
            RefusedException refusal = closed.refusalIfAllClosed(List.of(FIRST, SECOND), 11 * SECOND_NANOS)
                    .orElseThrow();

            assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
            assertThat(refusal.retryAfter().orElseThrow()).isAtLeast(Duration.ofSeconds(1));
            assertThat(refusal.retryAfter().orElseThrow()).isLessThan(Duration.ofMillis(1_701));
        }

        @Test
        void spreadsTheCallersThatReturn() {
            close(FIRST, Duration.ofSeconds(4), 10);
            long distinct = IntStream.range(0, 100)
                    .mapToObj(i -> closed.refusalIfAllClosed(List.of(FIRST), 11 * SECOND_NANOS)
                            .orElseThrow()
                            .retryAfter()
                            .orElseThrow()
                            .toMillis())
                    .distinct()
                    .count();

            assertThat(distinct).isGreaterThan(50);
        }

        @Test
        void isNotGivenWhileAnUpstreamIsOpen() {
            close(FIRST, Duration.ofSeconds(4), 10);

            assertThat(closed.refusalIfAllClosed(List.of(FIRST, SECOND), 11 * SECOND_NANOS))
                    .isEmpty();
            assertThat(closed.refusalIfAllClosed(List.of(), 11 * SECOND_NANOS)).isEmpty();
        }
    }
}
