package org.sardinepost.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.routing.UpstreamId;

/** Guards against a restarted daemon that serves an older services text than its peers hold. */
class StartGateTest {
    private static final UpstreamId FIRST = new UpstreamId("10.0.0.1", 8082);
    private static final UpstreamId SECOND = new UpstreamId("10.0.0.2", 8082);
    private static final Set<UpstreamId> PEERS = Set.of(FIRST, SECOND);

    private final StartGate gate = new StartGate(0);

    @Nested
    class Waits {
        @Test
        void forTheFirstResponse() {
            assertThat(decide(4, 4_999)).isEqualTo(StartDecision.WAITING);
        }

        @Test
        void forTheHighestVersionOfThePeers() {
            gate.recordResponse(FIRST, 8, millis(10));
            gate.recordResponse(SECOND, 5, millis(10));
            assertThat(decide(5, 20)).isEqualTo(StartDecision.WAITING);
            assertThat(decide(8, 30)).isEqualTo(StartDecision.READY);
        }

        @Test
        void forTheOtherPeersForOneSecond() {
            gate.recordResponse(FIRST, 4, millis(100));
            assertThat(decide(4, 1_000)).isEqualTo(StartDecision.WAITING);
            assertThat(decide(4, 1_100)).isEqualTo(StartDecision.READY);
        }

        @Test
        void forAServicesText() {
            assertThat(decide(0, 60_000)).isEqualTo(StartDecision.WAITING);
        }

        @Test
        void forTheListOfPeers() {
            assertThat(gate.decide(Set.of(), false, 4, millis(100))).isEqualTo(StartDecision.WAITING);
        }
    }

    @Nested
    class Opens {
        @Test
        void unprovenAtTheMaximumWaitIfNoPeerResponds() {
            assertThat(decide(4, 5_000)).isEqualTo(StartDecision.READY_UNPROVEN);
        }

        @Test
        void immediatelyWithoutPeers() {
            assertThat(gate.decide(Set.of(), true, 4, millis(1))).isEqualTo(StartDecision.READY);
        }
    }

    private StartDecision decide(long heldVersion, long atMillis) {
        return gate.decide(PEERS, true, heldVersion, millis(atMillis));
    }

    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
