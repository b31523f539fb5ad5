package org.sardinepost.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against closing an upstream to all daemons for what it said to one of them, or for long. */
final class FleetClosureTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final Duration DELAY = Duration.ofSeconds(4);

    private final FleetClosure closure = new FleetClosure();

    @Test
    void oneDaemonThatWasTurnedAwayDoesNotCloseTheUpstreamToOthers() {
        closure.turnedAway("a", DELAY, 0);
        closure.turnedAway("a", DELAY, SECOND_NANOS);

        assertThat(closure.active(SECOND_NANOS)).isFalse();
    }

    @Test
    void secondDaemonClosesItForAtMostASecond() {
        closure.turnedAway("a", DELAY, 0);
        closure.turnedAway("b", DELAY, 0);

        assertThat(closure.active(SECOND_NANOS - 1)).isTrue();
        assertThat(closure.active(SECOND_NANOS)).isFalse();
    }

    @Test
    void nextDaemonThatIsTurnedAwayClosesItAgain() {
        closure.turnedAway("a", DELAY, 0);
        closure.turnedAway("b", DELAY, 0);
        closure.turnedAway("c", Duration.ofMillis(200), 2 * SECOND_NANOS);

        assertThat(closure.active(2 * SECOND_NANOS + 199_000_000L)).isTrue();
        assertThat(closure.active(2 * SECOND_NANOS + 200_000_000L)).isFalse();
    }

    @Test
    void responseInBetweenKeepsItOpen() {
        closure.turnedAway("a", DELAY, 0);
        closure.answered();
        closure.turnedAway("b", DELAY, 0);

        assertThat(closure.active(0)).isFalse();
    }
}
