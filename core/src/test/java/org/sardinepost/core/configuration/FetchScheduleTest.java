package org.sardinepost.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against every daemon fetching each change, and against a change that is delayed by failed fetchers. */
class FetchScheduleTest {
    private static final List<String> DAEMONS = IntStream.range(0, 100)
            .mapToObj(index -> "10.0.0." + index + ":8082")
            .toList();

    @Test
    void twoOfAHundredDaemonsFetchImmediately() {
        for (long revision = 1; revision <= 50; revision++) {
            assertThat(immediateFetchers(DAEMONS, revision)).hasSize(FetchSchedule.IMMEDIATE_FETCHERS);
        }
    }

    @Test
    void immediateFetchersDifferBetweenRevisions() {
        Set<String> fetchers = new HashSet<>();
        for (long revision = 1; revision <= 200; revision++) {
            fetchers.addAll(immediateFetchers(DAEMONS, revision));
        }
        assertThat(fetchers.size()).isAtLeast(90);
    }

    @Test
    void nextRanksFetchAfterOneStepIfTheFirstFetchersFail() {
        assertThat(FetchSchedule.waitMillis(2)).isEqualTo(FetchSchedule.STEP_MILLIS);
        assertThat(FetchSchedule.waitMillis(3)).isEqualTo(FetchSchedule.STEP_MILLIS);
        assertThat(FetchSchedule.waitMillis(4)).isGreaterThan(FetchSchedule.STEP_MILLIS);
    }

    @Test
    void noDaemonExceedsTheMaximumWait() {
        IntStream.range(0, 5_000)
                .forEach(rank -> assertThat(FetchSchedule.waitMillis(rank)).isAtMost(FetchSchedule.MAX_WAIT_MILLIS));
    }

    @Test
    void daemonWithoutPeersFetchesImmediately() {
        assertThat(FetchSchedule.waitMillis("10.0.0.1:8082", List.of(), 5)).isEqualTo(0);
    }

    private static Set<String> immediateFetchers(List<String> daemons, long revision) {
        return daemons.stream()
                .filter(daemon -> FetchSchedule.waitMillis(daemon, daemons, revision) == 0)
                .collect(Collectors.toSet());
    }
}
