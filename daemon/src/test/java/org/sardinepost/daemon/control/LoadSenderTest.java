package org.sardinepost.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.peer.generated.LoadBatch;

/** Guards against load batches that omit changes or exceed the limit of control traffic. */
class LoadSenderTest {
    private static final UpstreamId FIRST = new UpstreamId("10.0.1.1", 7001);
    private static final UpstreamId SECOND = new UpstreamId("10.0.1.2", 7001);

    @Nested
    class Changes {
        @Test
        void containOnlyChangedAndEndedLoads() {
            LoadBatch batch = LoadSender.changes(
                    Map.of("a", Map.of(FIRST, load(1), SECOND, load(2)), "b", Map.of(FIRST, load(5))),
                    Map.of("a", Map.of(FIRST, load(1), SECOND, load(3))));
            assertThat(batch.getServicesCount()).isEqualTo(2);
            assertThat(batch.getServices(0).getUpstreamsList()).hasSize(1);
            assertThat(batch.getServices(0).getUpstreams(0).getInFlight()).isEqualTo(3);
            assertThat(batch.getServices(1).getUpstreams(0).getInFlight()).isEqualTo(0);
        }

        @Test
        void areEmptyWhenNothingChanged() {
            Map<String, Map<UpstreamId, OwnUpstreamLoad>> loads = Map.of("a", Map.of(FIRST, load(1)));
            assertThat(LoadSender.changes(loads, loads).getServicesCount()).isEqualTo(0);
        }
    }

    /** Guards against load messages of all daemons together exceeding the measuring budget of a service. */
    @Nested
    class MeasuringBudgets {
        private static final int CEILING = 3;
        private static final long SECOND_NANOS = 1_000_000_000L;

        private final AtomicLong now = new AtomicLong();
        private final AtomicInteger calls = new AtomicInteger();
        private final List<Long> messageTimes = new ArrayList<>();
        private final Map<UpstreamId, Integer> messagesByPeer = new HashMap<>();

        @Test
        void boundEveryWindowOfOneSecondOverAllDaemons() {
            List<LoadSender> daemons =
                    Stream.generate(() -> sender(6)).limit(CEILING).toList();
            run(daemons, 250);
            assertThat(messageTimes).isNotEmpty();
            assertThat(mostInOneSecond()).isAtMost(6);
        }

        @Test
        void doNotAccumulateDuringAPause() {
            List<LoadSender> daemons = List.of(sender(6));
            run(daemons, 50);
            now.addAndGet(100 * SECOND_NANOS);
            run(daemons, 50);
            assertThat(mostInOneSecond()).isAtMost(2);
        }

        @Test
        void ofZeroSendsNothing() {
            run(List.of(sender(0)), 250);
            assertThat(messageTimes).isEmpty();
        }

        @Test
        void serveThePeersInRotation() {
            run(List.of(sender(6)), 250);
            assertThat(messagesByPeer.keySet()).containsExactly(FIRST, SECOND);
            assertThat(Math.abs(messagesByPeer.get(FIRST) - messagesByPeer.get(SECOND)))
                    .isAtMost(1);
        }

        private LoadSender sender(int budget) {
            RecordingTarget target = new RecordingTarget() {
                @Override
                public Map<String, Map<UpstreamId, OwnUpstreamLoad>> ownLoads() {
                    return Map.of("a", Map.of(FIRST, load(calls.incrementAndGet())));
                }
            };
            LoadSender sender = new LoadSender(
                    () -> List.of(FIRST, SECOND),
                    this::sent,
                    target,
                    new ByteBudget(29_000, 0),
                    new Clock(now::get, () -> 0));
            Service service =
                    Service.builder("a").measuringBudgetPerSecond(budget).build();
            sender.updateBudgets(new ServicesText(1, CEILING, List.of(service)));
            return sender;
        }

        private void sent(UpstreamId peer, LoadBatch batch) {
            messageTimes.add(now.get());
            messagesByPeer.merge(peer, batch.getServicesCount(), Integer::sum);
        }

        private void run(List<LoadSender> daemons, int ticks) {
            for (int tick = 0; tick < ticks; tick++) {
                now.addAndGet(TimeUnit.MILLISECONDS.toNanos(LoadSender.INTERVAL_MILLIS));
                daemons.forEach(LoadSender::tick);
            }
        }

        private long mostInOneSecond() {
            return messageTimes.stream()
                    .mapToLong(start -> messageTimes.stream()
                            .filter(time -> time >= start && time < start + SECOND_NANOS)
                            .count())
                    .max()
                    .orElse(0);
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
