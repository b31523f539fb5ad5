package org.sardinepost.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.EnumSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a resumed process that dispatches based on the state from before its pause. */
class PauseDetectorTest {
    private final PauseDetector detector = new PauseDetector(EnumSet.allOf(StateSource.class), 0, 0);

    @Test
    void regularTicksDoNotHoldDispatches() {
        for (int tick = 1; tick <= 50; tick++) {
            assertThat(tick(tick * 100L, tick * 100L)).isFalse();
        }
        assertThat(allowed(5_900, 5_900)).isTrue();
    }

    @Test
    void dispatchBeforeTheFirstTickDetectsThePause() {
        assertThat(allowed(5_000, 5_000)).isFalse();
        assertThat(tick(5_050, 5_050)).isTrue();
        assertThat(tick(5_150, 5_150)).isFalse();
    }

    @Test
    void gapOnTheWallClockAloneIsAPause() {
        assertThat(tick(100, 5_000)).isTrue();
        assertThat(allowed(150, 5_050)).isFalse();
    }

    @Test
    void holdEndsWhenBothStateSourcesAreRefreshed() {
        tick(5_000, 5_000);
        detector.stateRefreshed(StateSource.VM_LIST);
        assertThat(allowed(5_100, 5_100)).isFalse();
        detector.stateRefreshed(StateSource.PEER);
        assertThat(allowed(5_200, 5_200)).isTrue();
    }

    @Test
    void holdEndsAfterOneSecondWithoutRefresh() {
        tick(5_000, 5_000);
        tick(5_500, 5_500);
        assertThat(allowed(5_999, 5_999)).isFalse();
        assertThat(allowed(6_000, 6_000)).isTrue();
    }

    @Test
    void wallClockSetBackIsNotAPauseAndDoesNotHideOne() {
        assertThat(tick(100, -3_600_000)).isFalse();
        assertThat(tick(200, -3_500_000)).isTrue();
    }

    private boolean tick(long nowMillis, long wallMillis) {
        return detector.tick(TimeUnit.MILLISECONDS.toNanos(nowMillis), wallMillis);
    }

    private boolean allowed(long nowMillis, long wallMillis) {
        return detector.dispatchAllowed(TimeUnit.MILLISECONDS.toNanos(nowMillis), wallMillis);
    }
}
