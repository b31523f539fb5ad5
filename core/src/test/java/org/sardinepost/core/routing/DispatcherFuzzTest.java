package org.sardinepost.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against states that single test cases do not cover: dispatches that are lost or granted twice, calls that are
 * queued forever, and calls to leaving upstreams. The number of runs is set by {@code -Dsardinepost.fuzz.tries=N}.
 */
class DispatcherFuzzTest {
    private static final int TRIES = Integer.getInteger("sardinepost.fuzz.tries", 200);
    private static final int STEPS = 400;
    private static final int MAX_UPSTREAMS = 30;
    private static final int SLOTS = 2;
    private static final int MAX_IN_FLIGHT = 3;
    private static final long MILLI_NANOS = 1_000_000;
    private static final long MAX_DEADLINE_NANOS = 500 * MILLI_NANOS;

    private SplittableRandom random = new SplittableRandom();
    private DispatcherOracle oracle = new DispatcherOracle(MAX_IN_FLIGHT);
    private JointLoadDispatcher dispatcher;
    private long now;

    @Test
    void maintainsInvariantsForRandomOperations() {
        for (int seed = 0; seed < TRIES; seed++) {
            run(seed);
        }
    }

    private void run(int seed) {
        random = new SplittableRandom(seed);
        oracle = new DispatcherOracle(MAX_IN_FLIGHT);
        now = random.nextLong();
        dispatcher = new JointLoadDispatcher(new DispatcherSettings(SLOTS, "a", 100_000), random.split());
        for (int step = 0; step < STEPS; step++) {
            step();
            assertThat(oracle.violations).isEmpty();
            assertThat(2 * dispatcher.ejectedUpstreams()).isAtMost(oracle.usable());
        }
        finishAll();
    }

    private void step() {
        now += random.nextInt(4) == 0 ? random.nextLong(20 * MILLI_NANOS) : 0;
        switch (random.nextInt(20)) {
            case 0 -> setUpstreams();
            case 1 -> markLeaving(randomId());
            case 2 -> dispatcher.expireQueuedCalls(now);
            case 3 -> dispatcher.updatePeerLoad(random.nextInt(3), Map.of(randomId(), random.nextInt(9)), now);
            case 4 -> dispatcher.removePeer(random.nextInt(3));
            case 5 -> cancel();
            case 6 -> now += random.nextLong(3_000 * MILLI_NANOS);
            case 7, 8, 9, 10, 11, 12 -> finish();
            default -> acquire();
        }
    }

    private static UpstreamId id(int index) {
        return new UpstreamId("10.0.0.1", 1 + index);
    }

    private UpstreamId randomId() {
        return id(random.nextInt(random.nextBoolean() ? 3 : MAX_UPSTREAMS));
    }

    private void setUpstreams() {
        int maxCount = 1 + random.nextInt(random.nextBoolean() ? 4 : MAX_UPSTREAMS);
        List<Upstream> upstreams = IntStream.range(0, maxCount)
                .filter(i -> random.nextInt(6) > 0)
                .mapToObj(i -> new Upstream(id(i), i % 2 == 0 ? "a" : "b"))
                .toList();
        oracle.setListed(upstreams.stream().map(Upstream::id).collect(Collectors.toSet()));
        dispatcher.setUpstreams(upstreams, now);
    }

    private void markLeaving(UpstreamId id) {
        oracle.markLeaving(id);
        dispatcher.markLeaving(id, now);
    }

    private void acquire() {
        Set<UpstreamId> excluded = random.nextInt(3) == 0 ? Set.of(randomId()) : Set.of();
        long deadline = now + random.nextLong(MAX_DEADLINE_NANOS);
        oracle.track(dispatcher.acquire(
                new DispatchRequest(deadline, random.nextInt(11), random.nextLong(20_000), excluded), now));
    }

    private void cancel() {
        if (!oracle.futures.isEmpty()) {
            oracle.futures.get(random.nextInt(oracle.futures.size())).cancel(false);
        }
    }

    private void finish() {
        if (oracle.held.isEmpty()) {
            return;
        }
        Dispatch dispatch = oracle.held.remove(random.nextInt(oracle.held.size()));
        DispatchResult.Kind[] kinds = DispatchResult.Kind.values();
        DispatchResult.Kind kind = random.nextBoolean() ? kinds[0] : kinds[random.nextInt(kinds.length)];
        Optional<ReportedLoad> load =
                random.nextBoolean() ? Optional.of(new ReportedLoad(random.nextInt(7), SLOTS)) : Optional.empty();
        boolean leaving = random.nextInt(40) == 0;
        if (leaving) {
            oracle.markLeaving(dispatch.upstream());
        }
        oracle.released(dispatch);
        dispatch.complete(new DispatchResult(kind, load, leaving), now);
        dispatch.complete(DispatchResult.of(DispatchResult.Kind.ANSWERED), now);
    }

    private void finishAll() {
        if (random.nextBoolean()) {
            now += MAX_DEADLINE_NANOS;
            dispatcher.expireQueuedCalls(now);
        }
        // Each completed call must dispatch a queued one without waiting for the next tick.
        while (!oracle.held.isEmpty()) {
            finish();
        }
        assertThat(oracle.futures.stream().filter(future -> !future.isDone()).count())
                .isEqualTo(0);
        assertThat(dispatcher.ownLoads().stream().mapToInt(OwnLoad::inFlight).sum())
                .isEqualTo(0);
    }
}
