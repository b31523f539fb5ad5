package org.sardinepost.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.LoadBatch;

/** Guards against load batches that lose changes or exceed the limit of control traffic. */
class LoadSenderTest {
    private static final UpstreamId FIRST = new UpstreamId("10.0.1.1", 7001);
    private static final UpstreamId SECOND = new UpstreamId("10.0.1.2", 7001);

    @Nested
    class Changes {
        @Test
        void holdOnlyWhatChangedAndWhatEnded() {
            LoadBatch batch = LoadSender.changes(
                    Map.of("a", Map.of(FIRST, load(1), SECOND, load(2)), "b", Map.of(FIRST, load(5))),
                    Map.of("a", Map.of(FIRST, load(1), SECOND, load(3))));
            assertThat(batch.getServicesCount()).isEqualTo(2);
            assertThat(batch.getServices(0).getUpstreamsList()).hasSize(1);
            assertThat(batch.getServices(0).getUpstreams(0).getInFlight()).isEqualTo(3);
            assertThat(batch.getServices(1).getUpstreams(0).getInFlight()).isEqualTo(0);
        }

        @Test
        void areNoneWhenNothingChanged() {
            Map<String, Map<UpstreamId, OwnUpstreamLoad>> loads = Map.of("a", Map.of(FIRST, load(1)));
            assertThat(LoadSender.changes(loads, loads).getServicesCount()).isEqualTo(0);
        }
    }

    @Nested
    class Budget {
        private static final long TEN_MINUTES_TICKS = 10 * 60 * 1_000 / LoadSender.INTERVAL_MILLIS;

        @Test
        void boundsTheMeanOverAnyNumberOfPeers() {
            for (int peers : new int[] {1, 18, 99, 500}) {
                assertThat(sentIn(peers, 300)).isAtMost(29_000L * 60 * 10 + 29_000L);
            }
        }

        @Test
        void aLargeTextDelaysLoadsForTwoSecondsAtMost() {
            ByteBudget budget = new ByteBudget(29_000, 0);
            budget.charge(1_000_000, 0);
            assertThat(budget.tryCharge(100, TimeUnit.MILLISECONDS.toNanos(500)))
                    .isFalse();
            assertThat(budget.tryCharge(100, TimeUnit.SECONDS.toNanos(2))).isTrue();
        }

        private long sentIn(int peers, int bytesPerBatch) {
            ByteBudget budget = new ByteBudget(29_000, 0);
            long cost = (long) peers * bytesPerBatch;
            long sent = 0;
            for (long tick = 1; tick <= TEN_MINUTES_TICKS; tick++) {
                if (budget.tryCharge(cost, TimeUnit.MILLISECONDS.toNanos(tick * LoadSender.INTERVAL_MILLIS))) {
                    sent += cost;
                }
            }
            return sent;
        }
    }

    private static OwnUpstreamLoad load(int inFlight) {
        return new OwnUpstreamLoad(inFlight, 0);
    }
}
