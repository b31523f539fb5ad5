package org.sardinepost.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against services whose calls are all refused although their upstreams are idle. */
final class ServiceLockoutTest {
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
}
