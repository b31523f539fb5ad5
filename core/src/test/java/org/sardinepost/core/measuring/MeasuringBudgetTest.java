package org.sardinepost.core.measuring;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that exceeds the configured measuring budget. */
class MeasuringBudgetTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long STEP_NANOS = 10_000_000L;
    private static final int STEPS = 3_000;

    /**
     * The maximum number of daemons request messages at each step, are paused at random, and are occasionally replaced
     * by new ones. The list of live daemons is not used, so it may be outdated without effect.
     */
    @Property(tries = 150, seed = "1")
    void fleetNeverExceedsTheBudget(
            @ForAll @IntRange(min = 1, max = 200) int budget,
            @ForAll @IntRange(min = 1, max = 19) int daemonCeiling,
            @ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Long> sent = new ArrayList<>();
        for (int daemon = 0; daemon < daemonCeiling; daemon++) {
            runDaemon(budget, daemonCeiling, random, sent);
        }
        Collections.sort(sent);
        long windowSeconds = budget >= daemonCeiling ? 1 : (daemonCeiling + budget - 1L) / budget;
        assertThat(maxInWindow(sent, windowSeconds * SECOND_NANOS)).isAtMost((int) (budget * windowSeconds));
    }

    private static void runDaemon(int budget, int daemonCeiling, SplittableRandom random, List<Long> sent) {
        MeasuringBudget daemonBudget = new MeasuringBudget(budget, daemonCeiling, 0);
        long pausedUntil = 0;
        for (long step = 0; step < STEPS; step++) {
            long now = step * STEP_NANOS;
            if (now < pausedUntil) {
                continue;
            }
            while (daemonBudget.tryTake(now)) {
                sent.add(now);
            }
            if (random.nextInt(500) == 0) {
                pausedUntil = now + random.nextLong(5 * SECOND_NANOS);
            }
            if (random.nextInt(1000) == 0) {
                daemonBudget = new MeasuringBudget(budget, daemonCeiling, now);
            }
        }
    }

    private static int maxInWindow(List<Long> sorted, long windowNanos) {
        int max = 0;
        int first = 0;
        for (int last = 0; last < sorted.size(); last++) {
            while (sorted.get(last) - sorted.get(first) >= windowNanos) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    @Nested
    class Grants {
        private int taken(MeasuringBudget daemonBudget, long fromNanos, int seconds) {
            return (int) IntStream.range(0, seconds * 100)
                    .filter(i -> daemonBudget.tryTake(fromNanos + i * STEP_NANOS))
                    .count();
        }

        @Test
        void wholeShareWhenAskedOften() {
            assertThat(taken(new MeasuringBudget(100, 10, -SECOND_NANOS), 0, 10))
                    .isEqualTo(100);
        }

        @Test
        void fractionBelowOnePerSecond() {
            assertThat(taken(new MeasuringBudget(5, 19, -10 * SECOND_NANOS), 0, 40))
                    .isEqualTo(10);
        }

        @Test
        void nothingExtraAfterAPause() {
            MeasuringBudget daemonBudget = new MeasuringBudget(10, 10, 0);
            assertThat(taken(daemonBudget, 3600 * SECOND_NANOS, 1)).isEqualTo(1);
        }

        @Test
        void nothingWithoutABudget() {
            assertThat(taken(new MeasuringBudget(0, 10, 0), 3600 * SECOND_NANOS, 1))
                    .isEqualTo(0);
        }
    }
}
