package org.sardinepost.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.call.ServiceRegistry;

/** Connects the control side to the registry of services. */
public final class RegistryTarget implements RoutingTarget {
    private final ServiceRegistry registry;

    public RegistryTarget(ServiceRegistry registry) {
        this.registry = registry;
    }

    @Override
    public void apply(ServicesText text, Map<String, List<Upstream>> extraUpstreams, Set<UpstreamId> leaving) {
        registry.apply(text, extraUpstreams, leaving);
    }

    @Override
    public Map<String, Map<UpstreamId, OwnUpstreamLoad>> ownLoads() {
        return Map.of();
    }

    @Override
    public void peerLoads(long incarnation, Map<String, Map<UpstreamId, Integer>> inFlight) {
        // The dispatchers take no loads of peers yet.
    }

    @Override
    public void peerGone(long incarnation) {
        // The dispatchers take no loads of peers yet.
    }
}
