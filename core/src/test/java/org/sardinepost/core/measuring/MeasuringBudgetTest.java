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

/** Guards against a fleet that measures more than the operator allowed. */
class MeasuringBudgetTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long STEP_NANOS = 10_000_000L;
    private static final int STEPS = 3_000;

    /**
     * Every daemon up to the ceiling asks at each step, is paused at random, and is now and then replaced by a fresh one. The
     * list of live daemons plays no part, so it may lag without effect.
     */
    @Property(tries = 150, seed = "1")
    void fleetNeverExceedsTheBudget(
            @ForAll @IntRange(min = 1, max = 200) int budget,
            @ForAll @IntRange(min = 1, max = 19) int ceiling,
            @ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Long> sent = new ArrayList<>();
        for (int daemon = 0; daemon < ceiling; daemon++) {
            runDaemon(budget, ceiling, random, sent);
        }
        Collections.sort(sent);
        long windowSeconds = budget >= ceiling ? 1 : (ceiling + budget - 1L) / budget;
        assertThat(mostInWindow(sent, windowSeconds * SECOND_NANOS)).isAtMost((int) (budget * windowSeconds));
    }

    private static void runDaemon(int budget, int ceiling, SplittableRandom random, List<Long> sent) {
        MeasuringBudget share = new MeasuringBudget(budget, ceiling, 0);
        long pausedUntil = 0;
        for (long step = 0; step < STEPS; step++) {
            long now = step * STEP_NANOS;
            if (now < pausedUntil) {
                continue;
            }
            while (share.tryTake(now)) {
                sent.add(now);
            }
            if (random.nextInt(500) == 0) {
                pausedUntil = now + random.nextLong(5 * SECOND_NANOS);
            }
            if (random.nextInt(1000) == 0) {
                share = new MeasuringBudget(budget, ceiling, now);
            }
        }
    }

    private static int mostInWindow(List<Long> sorted, long windowNanos) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < sorted.size(); last++) {
            while (sorted.get(last) - sorted.get(first) >= windowNanos) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    @Nested
    class Grants {
        private int taken(MeasuringBudget share, long fromNanos, int seconds) {
            return (int) IntStream.range(0, seconds * 100)
                    .filter(i -> share.tryTake(fromNanos + i * STEP_NANOS))
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
            MeasuringBudget share = new MeasuringBudget(10, 10, 0);
            assertThat(taken(share, 3600 * SECOND_NANOS, 1)).isEqualTo(1);
        }

        @Test
        void nothingWithoutABudget() {
            assertThat(taken(new MeasuringBudget(0, 10, 0), 3600 * SECOND_NANOS, 1))
                    .isEqualTo(0);
        }
    }
}
