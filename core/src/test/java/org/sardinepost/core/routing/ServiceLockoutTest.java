package org.sardinepost.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against services whose calls are all refused although their upstreams are idle. */
final class ServiceLockoutTest {
    private static final long MILLIS = 1_000_000L;

    /** Calls with a target of 400 ms until 40 s. */
    private static FleetSimulation simulation(
            int upstreams, double slowHosts, double callsPerSecond, long serviceMillis) {
        FleetSimulation simulation = new FleetSimulation(3, upstreams, slowHosts, true);
        simulation.addArrivals(callsPerSecond, 0, 40_000, serviceMillis, 400);
        return simulation;
    }

    /** Checks the calls from the given time on. */
    private static void assertServed(FleetSimulation simulation, long fromMillis, double fraction) {
        simulation.run(fromMillis);
        simulation.resetCounts();
        simulation.run(60_000);
        assertWithMessage("on time of %s, with %s refused", simulation.calls, simulation.refused)
                .that(simulation.onTime)
                .isAtLeast((int) (fraction * simulation.calls));
    }

    /** Guards against time in which the coordinator stood still being counted as service time of the calls of that time. */
    @Nested
    class PausedCoordinator {
        @ParameterizedTest
        @CsvSource({"500, 0, 0.95", "1000, 0, 0.95", "4000, 0, 0.95", "17000, 0, 0.95", "17000, 0.25, 0.9"})
        void servesCallsWhenItGoesOn(long pauseMillis, double slowHosts, double fraction) {
            FleetSimulation simulation = simulation(10, slowHosts, 60, 160);
            simulation.run(24_000 - pauseMillis);
            simulation.pauseUntil(24_000);

            assertServed(simulation, 25_000, fraction);
        }
    }

    /** Guards against an expected wait that no call can shorten, since each is refused for it. */
    @Nested
    class UpstreamsLeftAfterASlowPhase {
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 3})
        void areUsedAtTheirNormalSpeed(int left) {
            FleetSimulation simulation = new FleetSimulation(3, 10, 0, true);
            simulation.addArrivals(60, 0, 15_000, 160, 400);
            simulation.addArrivals(60, 15_000, 20_000, 800, 400);
            simulation.addArrivals(4, 24_000, 40_000, 160, 400);
            simulation.run(22_000);
            simulation.keepUpstreams(left);

            assertServed(simulation, 23_000, 0.9);
        }
    }

    @Nested
    class SingleUpstream {
        @Test
        void isUsedWhileItIsIdle() {
            assertServed(simulation(1, 0, 3, 250), 25_000, 0.5);
        }
    }

    /** Guards against calls of another coordinator that are still assumed to be in progress after the last report. */
    @Nested
    class CallsOfAnotherCoordinator {
        @Test
        void areForgottenWithoutReports() {
            FleetSimulation simulation = simulation(10, 0, 60, 160);
            simulation.run(10_000);
            simulation.foreignCalls = 3;
            simulation.run(24_400);
            simulation.foreignCalls = 0;

            assertServed(simulation, 25_000, 0.95);
        }
    }

    /** Guards against waiting for a slowdown to end that is not that of a noisy neighbor. */
    @Nested
    class EveryHostSlow {
        @Test
        void servesCallsThatStillMeetTheirDeadline() {
            FleetSimulation simulation = simulation(10, 1, 5, 160);
            simulation.run(60_000);

            // The service time is 800 ms and the deadline 1,200 ms.
            assertThat(simulation.late).isAtLeast(simulation.calls / 2);
        }

        @Test
        void servesCallsOnHostsThatAreALittleSlow() {
            FleetSimulation simulation = new FleetSimulation(3, 10, 1, true);
            simulation.slowFactor = 1.4;
            simulation.addArrivals(10, 0, 40_000, 400, 1_000);

            assertServed(simulation, 5_000, 0.9);
        }
    }

    /** Guards against a kind of call that stays refused although its upstreams have become fast again. */
    @Nested
    class KindRefusedForItsServiceTime {
        private final List<UpstreamId> probed = new ArrayList<>();
        private final CentralDispatcher dispatcher = new CentralDispatcher(
                DispatcherSettings.of(3, "a"),
                new SplittableRandom(1),
                Optional.of(upstream -> probed.add(upstream.id())));
        private long now = 1_000 * MILLIS;

        private int served(long millis, long deadlineMillis, long serviceMillis) {
            int served = 0;
            for (long end = now + millis * MILLIS; now < end; now += 20 * MILLIS) {
                long deadline = now + deadlineMillis * MILLIS;
                CompletableFuture<Dispatch> dispatch = dispatcher.acquire(
                        new DispatchRequest(deadline, 0, 0, Set.of(), deadline, 0, Origin.unknown(), "route"), now);
                List.copyOf(probed)
                        .forEach(upstream ->
                                dispatcher.recordProbeResponse(upstream, new ReportedLoad(0, 3, 100), now + MILLIS));
                probed.clear();
                if (dispatch.isDone() && !dispatch.isCompletedExceptionally()) {
                    served++;
                    DispatchResult response = new DispatchResult(
                            DispatchResult.Kind.ANSWERED, Optional.of(new ReportedLoad(1, 3, 100)), false);
                    dispatch.join().complete(response, now + serviceMillis * MILLIS);
                }
            }
            return served;
        }

        @Test
        void isServedSoonAfterUpstreamsAreFast() {
            dispatcher.setUpstreams(List.of(new Upstream(new UpstreamId("10.0.0.1", 80), "a")), now);
            dispatcher.setMeasuringBudget(2_000);
            assertThat(served(2_000, 10_000, 3_000)).isAtLeast(50);
            now += 3_000 * MILLIS;
            served(5_000, 1_000, 160);

            assertThat(served(2_000, 1_000, 160)).isEqualTo(100);
        }
    }
}
