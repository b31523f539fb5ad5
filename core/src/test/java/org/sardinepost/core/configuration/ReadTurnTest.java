package org.sardinepost.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Replays a fleet of daemons on a virtual clock: what the source is asked, and how old the state gets. */
final class ReadTurnTest {
    private static final int DAEMONS = 19;
    private static final long TICK_MILLIS = 100;
    private static final long ANSWER_MILLIS = 4;

    /** The time within which a leaving upstream must get no new calls. */
    private static final long BOUND_MILLIS = 2_000;

    /** A fleet whose daemons tick at different moments; the first in the order has rank 0. */
    private static final class Fleet {
        private final ReadTurn[] turns = new ReadTurn[DAEMONS];
        private final long[] knownMillis = new long[DAEMONS];
        private final boolean[] frozen = new boolean[DAEMONS];
        private boolean sourceDown;
        private long nowMillis;
        private int reads;
        private long oldestMillis;

        Fleet() {
            for (int i = 0; i < DAEMONS; i++) {
                turns[i] = new ReadTurn();
            }
        }

        void run(long millis) {
            long end = nowMillis + millis;
            for (; nowMillis < end; nowMillis++) {
                for (int i = 0; i < DAEMONS; i++) {
                    if (!frozen[i]) {
                        step(i);
                    }
                }
            }
        }

        private void step(int daemon) {
            boolean ticks = (nowMillis + 7L * daemon) % TICK_MILLIS == 0;
            if (ticks && turns[daemon].due(daemon, nanos(nowMillis))) {
                read(daemon);
            }
            oldestMillis = Math.max(oldestMillis, nowMillis - knownMillis[daemon]);
        }

        private void read(int daemon) {
            reads++;
            turns[daemon].started();
            if (sourceDown) {
                turns[daemon].failed(nanos(nowMillis + ANSWER_MILLIS));
                return;
            }
            turns[daemon].answered(nanos(nowMillis));
            knownMillis[daemon] = nowMillis;
            for (int peer = 0; peer < DAEMONS; peer++) {
                if (!frozen[peer]) {
                    turns[peer].known(nanos(nowMillis));
                    knownMillis[peer] = nowMillis;
                }
            }
        }

        private static long nanos(long millis) {
            return TimeUnit.MILLISECONDS.toNanos(millis);
        }
    }

    private final Fleet fleet = new Fleet();

    @Nested
    class WhileAllIsWell {
        @Test
        void oneDaemonReadsForAll() {
            fleet.run(60_000);

            assertThat(fleet.reads).isAtMost(DAEMONS + 60_000 / (int) ReadTurn.PERIOD.toMillis());
            assertThat(fleet.oldestMillis).isAtMost(BOUND_MILLIS);
        }
    }

    @Nested
    class Failures {
        @Test
        void ofTheFirstReadersAreBridgedWithinTheBound() {
            fleet.run(5_000);
            freeze(3);
            fleet.run(10_000);

            assertThat(fleet.oldestMillis).isAtMost(BOUND_MILLIS);
        }

        @Test
        void ofHalfOfTheDaemonsAreBridgedWithinTheBound() {
            fleet.run(5_000);
            freeze(DAEMONS / 2);
            fleet.run(10_000);

            assertThat(fleet.oldestMillis).isAtMost(BOUND_MILLIS);
        }

        private void freeze(int daemons) {
            Arrays.fill(fleet.frozen, 0, daemons, true);
        }

        @Test
        void ofTheSourceDoNotMakeTheDaemonsAskFasterThanBefore() {
            fleet.run(5_000);
            fleet.sourceDown = true;
            int before = fleet.reads;
            fleet.run(10_000);

            assertThat(fleet.reads - before).isAtMost(DAEMONS * 10 + 3 * 10);
        }

        @Test
        void ofTheSourceEndWithOneReadForAll() {
            fleet.sourceDown = true;
            fleet.run(5_000);
            fleet.sourceDown = false;
            fleet.run(1_100);
            int before = fleet.reads;
            fleet.run(10_000);

            assertThat(fleet.reads - before).isAtMost(10_000 / (int) ReadTurn.PERIOD.toMillis() + 1);
        }
    }
}
