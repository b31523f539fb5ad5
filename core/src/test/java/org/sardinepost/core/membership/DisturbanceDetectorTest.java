package org.sardinepost.core.membership;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against removals that are held because a daemon, and not the registry, was slow, refused or late to read. */
final class DisturbanceDetectorTest {
    private static final long TICK_MILLIS = 100;

    private final DisturbanceDetector detector = new DisturbanceDetector(0);
    private long lastTickMillis;

    private static long nanos(long millis) {
        return millis * 1_000_000;
    }

    private void tickUntil(long untilMillis, boolean isolated) {
        while (lastTickMillis < untilMillis) {
            lastTickMillis += TICK_MILLIS;
            detector.tick(isolated, nanos(lastTickMillis));
        }
    }

    private boolean disturbedBy(long respondedMillis) {
        tickUntil(respondedMillis, false);
        return detector.responded(nanos(respondedMillis)).isPresent();
    }

    @Nested
    class Outage {
        @Test
        void isDetectedAtTheFirstResponseAfterwards() {
            assertThat(disturbedBy(700)).isFalse();
            assertThat(disturbedBy(5_400)).isTrue();

            assertThat(detector.lastDisturbedNanos()).hasValue(nanos(5_400));
        }

        @Test
        void tooShortForEntriesToExpireIsNone() {
            disturbedBy(700);

            assertThat(disturbedBy(3_600)).isFalse();
            assertThat(detector.lastDisturbedNanos()).isEmpty();
        }

        /** The fault: reads of single daemons failed while the registry served the others. */
        @Test
        void isNoneIfPeersGotResponsesMeanwhile() {
            for (long millis = 700; millis <= 14_000; millis += 700) {
                assertThat(disturbedBy(millis)).isFalse();
            }

            assertThat(detector.lastDisturbedNanos()).isEmpty();
        }

        @Test
        void isNoneIfOnlyThisDaemonWasPaused() {
            disturbedBy(700);
            lastTickMillis = 6_000;

            assertThat(disturbedBy(6_300)).isFalse();
        }

        @Test
        void isNoneIfOnlyThisDaemonWasCutOff() {
            disturbedBy(700);
            tickUntil(2_000, false);
            tickUntil(6_000, true);

            assertThat(disturbedBy(6_300)).isFalse();
        }

        @Test
        void isDetectedByADaemonWhosePeersHaveAllStopped() {
            disturbedBy(700);
            tickUntil(1_300, true);
            detector.responded(nanos(1_400));
            tickUntil(5_900, true);

            assertThat(detector.responded(nanos(5_900))).isPresent();
        }

        @Test
        void isDetectedOnceEvenIfAnOlderResponseIsReportedLater() {
            disturbedBy(5_400);

            assertThat(disturbedBy(5_300)).isFalse();
            assertThat(disturbedBy(6_100)).isFalse();
            assertThat(detector.lastDisturbedNanos()).hasValue(nanos(5_400));
        }
    }

    @Nested
    class ReportOfAPeer {
        @Test
        void isBelievedByADaemonThatHeardOfNoResponseMeanwhile() {
            disturbedBy(700);

            assertThat(detector.reportedByPeer(nanos(5_400))).isTrue();
            assertThat(detector.lastDisturbedNanos()).hasValue(nanos(5_400));
        }

        @Test
        void isNotBelievedIfTheRegistryRespondedMeanwhile() {
            for (long millis = 700; millis <= 7_000; millis += 700) {
                disturbedBy(millis);
            }

            assertThat(detector.reportedByPeer(nanos(5_400))).isFalse();
            assertThat(detector.lastDisturbedNanos()).isEmpty();
        }

        @Test
        void thatIsOlderChangesNothing() {
            detector.reportedByPeer(nanos(5_400));

            assertThat(detector.reportedByPeer(nanos(5_300))).isFalse();
            assertThat(detector.lastDisturbedNanos()).hasValue(nanos(5_400));
        }
    }
}
