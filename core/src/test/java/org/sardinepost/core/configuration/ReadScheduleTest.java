package org.sardinepost.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against too many reads of the source and against a state that becomes too old. Simulates a fleet of daemons on
 * a virtual clock.
 */
final class ReadScheduleTest {
    private static final int DAEMONS = 19;
    private static final long TICK_MILLIS = 100;
    private static final long RESPONSE_MILLIS = 4;

    /** Time after which a leaving upstream must not receive new calls. */
    private static final long MAX_STATE_AGE_MILLIS = 2_000;

    /** A fleet whose daemons tick at different times. The index of a daemon is its rank. */
    private static final class Fleet {
        private final ReadSchedule[] schedules = new ReadSchedule[DAEMONS];
        private final long[] stateAsOfMillis = new long[DAEMONS];
        private final boolean[] paused = new boolean[DAEMONS];
        private boolean sourceDown;
        private long nowMillis;
        private int reads;
        private long maxAgeMillis;

        Fleet() {
            for (int i = 0; i < DAEMONS; i++) {
                schedules[i] = new ReadSchedule();
            }
        }

        void run(long millis) {
            long end = nowMillis + millis;
            for (; nowMillis < end; nowMillis++) {
                for (int i = 0; i < DAEMONS; i++) {
                    if (!paused[i]) {
                        tickIfDue(i);
                    }
                }
            }
        }

        private void tickIfDue(int daemon) {
            boolean tickIsDue = (nowMillis + 7L * daemon) % TICK_MILLIS == 0;
            if (tickIsDue && schedules[daemon].due(daemon, nanos(nowMillis))) {
                read(daemon);
            }
            maxAgeMillis = Math.max(maxAgeMillis, nowMillis - stateAsOfMillis[daemon]);
        }

        private void read(int daemon) {
            reads++;
            schedules[daemon].started();
            if (sourceDown) {
                schedules[daemon].failed(nanos(nowMillis + RESPONSE_MILLIS));
                return;
            }
            schedules[daemon].completed(nanos(nowMillis));
            stateAsOfMillis[daemon] = nowMillis;
            for (int peer = 0; peer < DAEMONS; peer++) {
                if (!paused[peer]) {
                    schedules[peer].stateReceived(nanos(nowMillis));
                    stateAsOfMillis[peer] = nowMillis;
                }
            }
        }

        private static long nanos(long millis) {
            return TimeUnit.MILLISECONDS.toNanos(millis);
        }
    }

    private final Fleet fleet = new Fleet();

    @Nested
    class WithoutFailures {
        @Test
        void oneDaemonReadsForAll() {
            fleet.run(60_000);

            assertThat(fleet.reads).isAtMost(DAEMONS + 60_000 / (int) ReadSchedule.MIN_READ_AGE.toMillis());
            assertThat(fleet.maxAgeMillis).isAtMost(MAX_STATE_AGE_MILLIS);
        }
    }

    @Nested
    class Failures {
        @Test
        void ofTheFirstReadersKeepTheStateAgeWithinTheLimit() {
            fleet.run(5_000);
            pause(3);
            fleet.run(10_000);

            assertThat(fleet.maxAgeMillis).isAtMost(MAX_STATE_AGE_MILLIS);
        }

        @Test
        void ofHalfOfTheDaemonsKeepTheStateAgeWithinTheLimit() {
            fleet.run(5_000);
            pause(DAEMONS / 2);
            fleet.run(10_000);

            assertThat(fleet.maxAgeMillis).isAtMost(MAX_STATE_AGE_MILLIS);
        }

        private void pause(int daemons) {
            Arrays.fill(fleet.paused, 0, daemons, true);
        }

        @Test
        void ofTheSourceKeepTheNumberOfReadsBounded() {
            fleet.run(5_000);
            fleet.sourceDown = true;
            int readsBefore = fleet.reads;
            fleet.run(10_000);

            assertThat(fleet.reads - readsBefore).isAtMost(DAEMONS * 10 + 3 * 10);
        }

        @Test
        void ofTheSourceEndWithOneDaemonReadingForAll() {
            fleet.sourceDown = true;
            fleet.run(5_000);
            fleet.sourceDown = false;
            fleet.run(1_100);
            int readsBefore = fleet.reads;
            fleet.run(10_000);

            assertThat(fleet.reads - readsBefore).isAtMost(10_000 / (int) ReadSchedule.MIN_READ_AGE.toMillis() + 1);
        }
    }
}
