package org.sardinepost.daemon.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sardinepost.core.membership.Evacuation;
import org.sardinepost.core.routing.JointDispatcher;
import org.sardinepost.core.routing.OwnLoad;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.call.RegisteredService;
import org.sardinepost.daemon.call.ServiceRegistry;

/** Applies updates from the control plane to the service registry and its dispatchers. */
public final class RegistryRoutingTarget implements RoutingTarget {
    private final ServiceRegistry registry;
    private final LongSupplier nanoClock;
    private final Consumer<Set<UpstreamId>> idleConnectionCloser;
    private final RefusingUpstreamLog refusingUpstreamLog = new RefusingUpstreamLog();

    /**
     * Creates a target.
     *
     * @param idleConnectionCloser closes the idle connections to evacuated upstreams
     */
    public RegistryRoutingTarget(
            ServiceRegistry registry, LongSupplier nanoClock, Consumer<Set<UpstreamId>> idleConnectionCloser) {
        this.registry = registry;
        this.nanoClock = nanoClock;
        this.idleConnectionCloser = idleConnectionCloser;
    }

    @Override
    public void apply(
            ServicesText text,
            Map<String, List<Upstream>> extraUpstreams,
            Set<UpstreamId> leaving,
            Evacuation evacuation,
            Map<UpstreamId, Long> coldSinceNanos) {
        registry.apply(text, extraUpstreams, leaving, evacuation, coldSinceNanos);
    }

    @Override
    public void tick() {
        Set<String> services = new HashSet<>();
        for (RegisteredService service : registry.services()) {
            long nowNanos = nanoClock.getAsLong();
            String name = service.service().name();
            service.dispatcher().expireQueuedCalls(nowNanos);
            refusingUpstreamLog.update(name, service.dispatcher().refusingUpstreams(nowNanos), nowNanos);
            services.add(name);
        }
        refusingUpstreamLog.retain(services);
        Set<UpstreamId> evacuated = registry.evacuationGuard().evacuation().upstreams();
        if (!evacuated.isEmpty()) {
            // On each tick, since a connection becomes idle only when the call in progress on it has ended.
            idleConnectionCloser.accept(evacuated);
        }
    }

    @Override
    public Map<String, Map<UpstreamId, OwnUpstreamLoad>> ownLoads() {
        Map<String, Map<UpstreamId, OwnUpstreamLoad>> loads = new HashMap<>();
        forEachJointDispatcher((service, dispatcher) -> {
            Map<UpstreamId, OwnUpstreamLoad> byUpstream = new HashMap<>();
            for (OwnLoad load : dispatcher.ownLoads()) {
                byUpstream.put(load.upstream(), new OwnUpstreamLoad(load.inFlight(), load.recentFailures()));
            }
            if (!byUpstream.isEmpty()) {
                loads.put(service, byUpstream);
            }
        });
        return loads;
    }

    @Override
    public void updatePeerLoad(long incarnation, Map<String, Map<UpstreamId, Integer>> inFlight) {
        forEachJointDispatcher((service, dispatcher) -> {
            Map<UpstreamId, Integer> loads = inFlight.get(service);
            if (loads != null) {
                dispatcher.updatePeerLoad(incarnation, loads, nanoClock.getAsLong());
            }
        });
    }

    @Override
    public void removePeer(long incarnation) {
        forEachJointDispatcher((service, dispatcher) -> dispatcher.removePeer(incarnation));
    }

    private void forEachJointDispatcher(BiConsumer<String, JointDispatcher> action) {
        for (RegisteredService service : registry.services()) {
            if (service.dispatcher() instanceof JointDispatcher joint) {
                action.accept(service.service().name(), joint);
            }
        }
    }
}
