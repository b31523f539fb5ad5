package org.sardinepost.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.DispatcherSettings;
import org.sardinepost.core.routing.JointLoadDispatcher;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** Measures the cost of the dispatchers of one daemon against the number of services, each with 19 upstreams. */
final class DispatcherCosts {
    private static final int[] SERVICE_COUNTS = {19, 76, 190};
    private static final int SLOTS = 3;
    private static final long DEADLINE_NANOS = 2_000_000_000L;
    private static final String SIZE_UNIT = "services of 19 upstreams";

    private DispatcherCosts() {}

    static List<LinearFit> measure() {
        return List.of(
                fit(
                        "memory of dispatchers",
                        "KiB",
                        services -> MicroBenchmark.retainedKibibytes(() -> idleDispatchers(services))),
                fit("read own loads, one call in progress per service", "us", DispatcherCosts::ownLoadsMicros),
                fit("control tick of dispatchers", "us", DispatcherCosts::controlTickMicros));
    }

    private static LinearFit fit(String name, String unit, IntToDoubleFunction cost) {
        return LinearFits.measureCost(name, SIZE_UNIT, unit, SERVICE_COUNTS, cost);
    }

    private static List<JointLoadDispatcher> idleDispatchers(int services) {
        List<JointLoadDispatcher> dispatchers = new ArrayList<>();
        for (int service = 0; service < services; service++) {
            JointLoadDispatcher dispatcher =
                    new JointLoadDispatcher(DispatcherSettings.of(SLOTS, "domain-1"), new SplittableRandom(service));
            dispatcher.setUpstreams(upstreams(service), 0);
            dispatchers.add(dispatcher);
        }
        return dispatchers;
    }

    private static List<Upstream> upstreams(int service) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < SampleText.UPSTREAMS_PER_SERVICE; i++) {
            upstreams.add(new Upstream(new UpstreamId("10." + service + ".0." + i, 8080), "domain-" + i));
        }
        return upstreams;
    }

    private static List<JointLoadDispatcher> busyDispatchers(int services) {
        List<JointLoadDispatcher> dispatchers = idleDispatchers(services);
        for (JointLoadDispatcher dispatcher : dispatchers) {
            Dispatch dispatch = dispatcher
                    .acquire(new DispatchRequest(DEADLINE_NANOS, 0, 0, Set.of()), 0)
                    .join();
            dispatch.complete(DispatchResult.of(DispatchResult.Kind.ANSWERED), 1);
            dispatcher
                    .acquire(new DispatchRequest(DEADLINE_NANOS, 0, 0, Set.of()), 1)
                    .join();
        }
        return dispatchers;
    }

    private static double ownLoadsMicros(int services) {
        List<JointLoadDispatcher> dispatchers = busyDispatchers(services);
        return MicroBenchmark.medianMicros(() -> dispatchers.stream()
                .mapToInt(dispatcher -> dispatcher.ownLoads().size())
                .sum());
    }

    private static double controlTickMicros(int services) {
        List<JointLoadDispatcher> dispatchers = busyDispatchers(services);
        return MicroBenchmark.medianMicros(() -> {
            dispatchers.forEach(dispatcher -> dispatcher.expireQueuedCalls(2));
            return dispatchers;
        });
    }
}
