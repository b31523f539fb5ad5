package org.sardinepost.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls to upstreams that announced that they leave or that asked for a time without calls, while a burst
 * of 1.8 times the usual load meets a third of the upstreams leaving or closed.
 */
final class DepartingUpstreamsTest {
    /** 12 upstreams with 3 slots of 160 ms serve 45 calls/s at a fifth of their capacity, and the burst 81 calls/s. */
    private static FleetSimulation simulation(boolean heedsUpstreams) {
        FleetSimulation simulation = new FleetSimulation(11, 12, 0.1, true);
        simulation.heedsUpstreams = heedsUpstreams;
        simulation.maxRetries = 1;
        simulation.addArrivals(45, 0, 5_000, 160, 400);
        simulation.addArrivals(81, 5_000, 18_000, 160, 400);
        return simulation;
    }

    @Nested
    class Leaving {
        private FleetSimulation play(boolean heedsUpstreams) {
            FleetSimulation simulation = simulation(heedsUpstreams);
            simulation.leave(0.34, 6_000);
            simulation.run(20_000);
            return simulation;
        }

        @Test
        void upstreamsGetNoMoreCalls() {
            assertThat(play(true).callsToLeaving).isEqualTo(0);
        }

        @Test
        void upstreamsKeepTheirShareIfTheirResponsesAreIgnored() {
            assertThat(play(false).callsToLeaving).isGreaterThan(100);
        }
    }

    @Nested
    class Closed {
        /** Two calls for each of two daemons and four upstreams. */
        private static final int TOLERATED_CALLS = 16;

        private FleetSimulation play(boolean heedsUpstreams) {
            FleetSimulation simulation = simulation(heedsUpstreams);
            simulation.turnAway(0.34, 6_000, 16_000);
            simulation.run(20_000);
            return simulation;
        }

        @Test
        void upstreamsGetNoCallsUntilTheTimeHasPassed() {
            assertThat(play(true).callsToClosed).isEqualTo(0);
        }

        @Test
        void upstreamsAreCalledAgainIfTheirResponsesAreIgnored() {
            assertThat(play(false).callsToClosed).isGreaterThan(TOLERATED_CALLS);
        }

        @Test
        void noCallerIsServedWorse() {
            assertThat(play(true).onTime).isAtLeast(play(false).onTime);
        }
    }
}
