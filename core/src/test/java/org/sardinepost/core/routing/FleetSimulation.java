package org.sardinepost.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.sardinepost.core.call.RefusedException;

/**
 * Replays calls of one service against a dispatcher on a virtual clock.
 *
 * <p>Upstreams work on a call at the pace that their host has at its start; neighbours slow a host for 150 ms at a time.
 */
final class FleetSimulation {
    static final long MILLIS = 1_000_000L;
    private static final long WINDOW_NANOS = 150 * MILLIS;
    private static final long PROBE_NANOS = 2 * MILLIS;
    private static final long REFUSAL_NANOS = 2 * MILLIS;
    private static final long TICK_NANOS = 8 * MILLIS;
    private static final double SLOW_FACTOR = 5;
    private static final int SLOTS = 3;

    private final SplittableRandom random;
    private final double slowShare;
    private final CentralDispatcher dispatcher;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<UpstreamId, Integer> running = new HashMap<>();
    private final List<UpstreamId> upstreams = new ArrayList<>();
    private final long paceSeed;
    private long now;
    private long sequence;

    /** Share of the calls that upstreams refuse although they have room. */
    double shedShare;

    /** How often a refused caller comes back after the time that it was told. */
    int returns;

    int calls;
    int onTime;
    int late;
    int refused;
    int returned;
    long longestHoldNanos;
    /** The same for calls that were late when they arrived. */
    long longestLateHoldNanos;

    final List<Long> retryAfterMillis = new ArrayList<>();

    FleetSimulation(long seed, int upstreamCount, double slowShare, boolean probes) {
        this.random = new SplittableRandom(seed);
        this.paceSeed = random.nextLong();
        this.slowShare = slowShare;
        Optional<LoadProbe> probe = probes ? Optional.of(this::probe) : Optional.empty();
        this.dispatcher = new CentralDispatcher(DispatcherSettings.of(SLOTS, "a"), random.split(), probe);
        dispatcher.measuringBudget(2_000);
        for (int i = 0; i < upstreamCount; i++) {
            upstreams.add(new UpstreamId("10.0.0." + i, 80));
        }
        dispatcher.update(upstreams.stream().map(id -> new Upstream(id, "a")).toList(), now);
        at(TICK_NANOS, this::tick);
    }

    /** Adds calls at random moments. */
    void arrivals(double perSecond, long fromMillis, long untilMillis, long workMillis, long targetMillis) {
        double time = fromMillis;
        while (true) {
            time += -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
            if (time >= untilMillis) {
                return;
            }
            at((long) (time * MILLIS), () -> call(workMillis, targetMillis));
        }
    }

    void run(long untilMillis) {
        while (!events.isEmpty() && events.peek().time() <= untilMillis * MILLIS) {
            Event event = events.remove();
            now = event.time();
            event.action().run();
        }
    }

    private void call(long workMillis, long targetMillis) {
        calls++;
        call(now, returns, workMillis, targetMillis);
    }

    /** The target of a call that comes back counts from its first attempt. */
    private void call(long firstArrived, int returnsLeft, long workMillis, long targetMillis) {
        long arrived = now;
        DispatchRequest request = new DispatchRequest(
                firstArrived + 3 * targetMillis * MILLIS,
                0,
                0,
                Set.of(),
                firstArrived + targetMillis * MILLIS,
                0,
                Origin.unknown(),
                "route");
        CompletableFuture<Dispatch> place = dispatcher.acquire(request, now);
        var unused = place.whenComplete((granted, failure) -> {
            if (granted != null) {
                if (random.nextDouble() >= shedShare) {
                    start(granted, firstArrived, workMillis, targetMillis);
                } else {
                    at(now + REFUSAL_NANOS, () -> {
                        granted.finished(shed(granted.upstream()), now);
                        comeBack(REFUSAL_NANOS, firstArrived, returnsLeft, workMillis, targetMillis);
                    });
                }
            } else {
                if (arrived - firstArrived >= targetMillis * MILLIS) {
                    longestLateHoldNanos = Math.max(longestLateHoldNanos, now - arrived);
                }
                refused(
                        arrived,
                        (RefusedException) failure,
                        wait -> comeBack(wait, firstArrived, returnsLeft, workMillis, targetMillis));
            }
        });
    }

    private void comeBack(long waitNanos, long firstArrived, int returnsLeft, long workMillis, long targetMillis) {
        if (returnsLeft > 0) {
            returned++;
            at(now + waitNanos, () -> call(firstArrived, returnsLeft - 1, workMillis, targetMillis));
        }
    }

    private DispatchResult shed(UpstreamId upstream) {
        return new DispatchResult(DispatchResult.Kind.REFUSED, Optional.of(load(upstream, 0)), false);
    }

    private void refused(long arrived, RefusedException refusal, LongConsumer comesBackAfterNanos) {
        refused++;
        longestHoldNanos = Math.max(longestHoldNanos, now - arrived);
        refusal.retryAfter().ifPresent(wait -> {
            retryAfterMillis.add((now - arrived) / MILLIS + wait.toMillis());
            comesBackAfterNanos.accept(wait.toNanos());
        });
    }

    private void start(Dispatch place, long arrived, long workMillis, long targetMillis) {
        UpstreamId upstream = place.upstream();
        int others = running.merge(upstream, 1, Integer::sum) - 1;
        double spread = 0.7 + 0.6 * random.nextDouble();
        double nearlyFull = others >= SLOTS - 1 ? 1.7 : 1;
        long took = (long) (workMillis * MILLIS * spread * nearlyFull * factor(upstream));
        at(now + took, () -> {
            running.merge(upstream, -1, Integer::sum);
            ReportedLoad load = load(upstream, 1);
            if (now - arrived <= targetMillis * MILLIS) {
                onTime++;
            } else {
                late++;
            }
            place.finished(new DispatchResult(DispatchResult.Kind.ANSWERED, Optional.of(load), false), now);
        });
    }

    private void probe(UpstreamId upstream) {
        at(now + PROBE_NANOS / 2, () -> {
            ReportedLoad load = load(upstream, 0);
            at(now + PROBE_NANOS / 2, () -> dispatcher.probed(upstream, load, now));
        });
    }

    private ReportedLoad load(UpstreamId upstream, int finishing) {
        return new ReportedLoad(
                running.getOrDefault(upstream, 0) + finishing, SLOTS, (int) Math.round(100 * factor(upstream)));
    }

    private double factor(UpstreamId upstream) {
        long window = now / WINDOW_NANOS;
        SplittableRandom draw = new SplittableRandom(paceSeed ^ (window * 1_000_003L) ^ (upstream.hashCode() * 31L));
        return draw.nextDouble() < slowShare ? SLOW_FACTOR : 1;
    }

    private void tick() {
        dispatcher.expire(now);
        at(now + TICK_NANOS, this::tick);
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    private record Event(long time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time == other.time ? Long.compare(order, other.order) : Long.compare(time, other.time);
        }
    }
}
