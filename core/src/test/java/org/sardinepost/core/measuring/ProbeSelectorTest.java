package org.sardinepost.core.measuring;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.routing.UpstreamId;

/** Guards against spending the budget on probes that provide no new information. */
class ProbeSelectorTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final UpstreamId A = new UpstreamId("10.0.0.1", 1);
    private static final UpstreamId B = new UpstreamId("10.0.0.1", 2);

    @Nested
    class Selects {
        @Test
        void upstreamWithOldestInformation() {
            assertThat(ProbeSelector.select(List.of(
                            new ProbeCandidate(A, 2 * SECOND_NANOS, 1), new ProbeCandidate(B, 3 * SECOND_NANOS, 1))))
                    .hasValue(B);
        }

        @Test
        void moreImportantUpstreamOfSimilarAge() {
            assertThat(ProbeSelector.select(List.of(
                            new ProbeCandidate(A, 2 * SECOND_NANOS, 3), new ProbeCandidate(B, 3 * SECOND_NANOS, 1))))
                    .hasValue(A);
        }
    }

    @Nested
    class SelectsNothing {
        @Test
        void whenLoadInformationIsFresh() {
            assertThat(ProbeSelector.select(List.of(new ProbeCandidate(A, SECOND_NANOS / 10, 9))))
                    .isEmpty();
        }
    }
}
