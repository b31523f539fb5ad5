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

/** Cost of the dispatchers of one daemon over the number of services, each with 19 upstreams. */
final class DispatcherSlopes {
    private static final int[] SERVICES = {19, 76, 190};
    private static final int SLOTS = 3;
    private static final long DEADLINE_NANOS = 2_000_000_000L;
    private static final String SIZE_UNIT = "services of 19 upstreams";

    private DispatcherSlopes() {}

    static List<Slope> measure() {
        return List.of(
                slope("memory of dispatchers", "KiB", services -> Sampler.retainedKibibytes(() -> idle(services))),
                slope("read own loads, one call in progress per service", "us", DispatcherSlopes::ownLoadsMicros),
                slope("control tick of dispatchers", "us", DispatcherSlopes::tickMicros));
    }

    private static Slope slope(String name, String unit, IntToDoubleFunction value) {
        return Slopes.over(name, SIZE_UNIT, unit, SERVICES, value);
    }

    private static List<JointLoadDispatcher> idle(int services) {
        List<JointLoadDispatcher> dispatchers = new ArrayList<>();
        for (int service = 0; service < services; service++) {
            JointLoadDispatcher dispatcher =
                    new JointLoadDispatcher(DispatcherSettings.of(SLOTS, "domain-1"), new SplittableRandom(service));
            dispatcher.update(upstreams(service), 0);
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

    private static List<JointLoadDispatcher> busy(int services) {
        List<JointLoadDispatcher> dispatchers = idle(services);
        for (JointLoadDispatcher dispatcher : dispatchers) {
            Dispatch dispatch = dispatcher
                    .acquire(new DispatchRequest(DEADLINE_NANOS, 0, 0, Set.of()), 0)
                    .join();
            dispatch.finished(DispatchResult.of(DispatchResult.Kind.ANSWERED), 1);
            dispatcher
                    .acquire(new DispatchRequest(DEADLINE_NANOS, 0, 0, Set.of()), 1)
                    .join();
        }
        return dispatchers;
    }

    private static double ownLoadsMicros(int services) {
        List<JointLoadDispatcher> dispatchers = busy(services);
        return Sampler.medianMicros(() -> dispatchers.stream()
                .mapToInt(dispatcher -> dispatcher.ownLoads().size())
                .sum());
    }

    private static double tickMicros(int services) {
        List<JointLoadDispatcher> dispatchers = busy(services);
        return Sampler.medianMicros(() -> {
            dispatchers.forEach(dispatcher -> dispatcher.expire(2));
            return dispatchers;
        });
    }
}
