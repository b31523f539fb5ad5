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
 * Simulates the calls of one service to a dispatcher on a virtual clock.
 *
 * <p>Upstreams process a call at the speed that their host has when it starts; noisy neighbors slow a host for 150 ms
 * at a time.
 */
final class FleetSimulation {
    static final long MILLIS = 1_000_000L;
    private static final long SLOWDOWN_WINDOW_NANOS = 150 * MILLIS;
    private static final long PROBE_ROUND_TRIP_NANOS = 2 * MILLIS;
    private static final long REFUSAL_LATENCY_NANOS = 2 * MILLIS;
    private static final long TICK_NANOS = 8 * MILLIS;
    private static final double SLOW_FACTOR = 5;
    private static final int SLOTS = 3;

    private final SplittableRandom random;
    private final double slowHostFraction;
    private final CentralDispatcher dispatcher;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<UpstreamId, Integer> running = new HashMap<>();
    private final List<UpstreamId> upstreams = new ArrayList<>();
    private final long slowdownSeed;
    private long now;
    private long sequence;

    /** Fraction of the calls that upstreams refuse although they have free slots. */
    double refusalFraction;

    /** The number of times that a refused caller retries after the delay that the refusal gave. */
    int maxRetries;

    int calls;
    int onTime;
    int late;
    int refused;
    int retried;
    long maxRefusalDelayNanos;
    /** The longest time until a refusal of a call that had already missed its target when it arrived. */
    long maxLateRefusalDelayNanos;

    final List<Long> retryAfterMillis = new ArrayList<>();

    FleetSimulation(long seed, int upstreamCount, double slowHostFraction, boolean probingEnabled) {
        this.random = new SplittableRandom(seed);
        this.slowdownSeed = random.nextLong();
        this.slowHostFraction = slowHostFraction;
        Optional<LoadProbe> probe = probingEnabled ? Optional.of(upstream -> probe(upstream.id())) : Optional.empty();
        this.dispatcher = new CentralDispatcher(DispatcherSettings.of(SLOTS, "a"), random.split(), probe);
        dispatcher.setMeasuringBudget(2_000);
        for (int i = 0; i < upstreamCount; i++) {
            upstreams.add(new UpstreamId("10.0.0." + i, 80));
        }
        dispatcher.setUpstreams(
                upstreams.stream().map(id -> new Upstream(id, "a")).toList(), now);
        scheduleAt(TICK_NANOS, this::tick);
    }

    /** Adds calls with exponentially distributed interarrival times. */
    void addArrivals(double perSecond, long fromMillis, long untilMillis, long serviceMillis, long targetMillis) {
        double time = fromMillis;
        while (true) {
            time += -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
            if (time >= untilMillis) {
                return;
            }
            scheduleAt((long) (time * MILLIS), () -> call(serviceMillis, targetMillis));
        }
    }

    void run(long untilMillis) {
        while (!events.isEmpty() && events.peek().time() <= untilMillis * MILLIS) {
            Event event = events.remove();
            now = event.time();
            event.action().run();
        }
    }

    private void call(long serviceMillis, long targetMillis) {
        calls++;
        call(now, maxRetries, serviceMillis, targetMillis);
    }

    /** Starts a call. The target of a retried call counts from its first attempt. */
    private void call(long firstArrived, int retriesLeft, long serviceMillis, long targetMillis) {
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
        CompletableFuture<Dispatch> dispatchFuture = dispatcher.acquire(request, now);
        var unused = dispatchFuture.whenComplete((granted, failure) -> {
            if (granted != null) {
                if (random.nextDouble() >= refusalFraction) {
                    start(granted, firstArrived, serviceMillis, targetMillis);
                } else {
                    scheduleAt(now + REFUSAL_LATENCY_NANOS, () -> {
                        granted.complete(refusedByUpstream(granted.upstream()), now);
                        retry(REFUSAL_LATENCY_NANOS, firstArrived, retriesLeft, serviceMillis, targetMillis);
                    });
                }
            } else {
                if (arrived - firstArrived >= targetMillis * MILLIS) {
                    maxLateRefusalDelayNanos = Math.max(maxLateRefusalDelayNanos, now - arrived);
                }
                refused(
                        arrived,
                        (RefusedException) failure,
                        wait -> retry(wait, firstArrived, retriesLeft, serviceMillis, targetMillis));
            }
        });
    }

    private void retry(long waitNanos, long firstArrived, int retriesLeft, long serviceMillis, long targetMillis) {
        if (retriesLeft > 0) {
            retried++;
            scheduleAt(now + waitNanos, () -> call(firstArrived, retriesLeft - 1, serviceMillis, targetMillis));
        }
    }

    private DispatchResult refusedByUpstream(UpstreamId upstream) {
        return new DispatchResult(DispatchResult.Kind.REFUSED, Optional.of(load(upstream, 0)), false);
    }

    private void refused(long arrived, RefusedException refusal, LongConsumer retryAfterNanos) {
        refused++;
        maxRefusalDelayNanos = Math.max(maxRefusalDelayNanos, now - arrived);
        refusal.retryAfter().ifPresent(wait -> {
            retryAfterMillis.add((now - arrived) / MILLIS + wait.toMillis());
            retryAfterNanos.accept(wait.toNanos());
        });
    }

    private void start(Dispatch dispatch, long arrived, long serviceMillis, long targetMillis) {
        UpstreamId upstream = dispatch.upstream();
        int otherRunning = running.merge(upstream, 1, Integer::sum) - 1;
        double serviceTimeVariation = 0.7 + 0.6 * random.nextDouble();
        double lastSlotFactor = otherRunning >= SLOTS - 1 ? 1.7 : 1;
        long serviceNanos =
                (long) (serviceMillis * MILLIS * serviceTimeVariation * lastSlotFactor * slowdownFactor(upstream));
        scheduleAt(now + serviceNanos, () -> {
            running.merge(upstream, -1, Integer::sum);
            ReportedLoad load = load(upstream, 1);
            if (now - arrived <= targetMillis * MILLIS) {
                onTime++;
            } else {
                late++;
            }
            dispatch.complete(new DispatchResult(DispatchResult.Kind.ANSWERED, Optional.of(load), false), now);
        });
    }

    private void probe(UpstreamId upstream) {
        scheduleAt(now + PROBE_ROUND_TRIP_NANOS / 2, () -> {
            ReportedLoad load = load(upstream, 0);
            scheduleAt(now + PROBE_ROUND_TRIP_NANOS / 2, () -> dispatcher.recordProbeResponse(upstream, load, now));
        });
    }

    private ReportedLoad load(UpstreamId upstream, int finishing) {
        return new ReportedLoad(
                running.getOrDefault(upstream, 0) + finishing, SLOTS, (int) Math.round(100 * slowdownFactor(upstream)));
    }

    private double slowdownFactor(UpstreamId upstream) {
        long slowdownWindow = now / SLOWDOWN_WINDOW_NANOS;
        SplittableRandom windowRandom =
                new SplittableRandom(slowdownSeed ^ (slowdownWindow * 1_000_003L) ^ (upstream.hashCode() * 31L));
        return windowRandom.nextDouble() < slowHostFraction ? SLOW_FACTOR : 1;
    }

    private void tick() {
        dispatcher.expireQueuedCalls(now);
        scheduleAt(now + TICK_NANOS, this::tick);
    }

    private void scheduleAt(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    private record Event(long time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time == other.time ? Long.compare(order, other.order) : Long.compare(time, other.time);
        }
    }
}
