package org.sardinepost.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.ServicesText;

/** The caller side as the control thread sees it. */
public interface RoutingTarget {
    /**
     * Puts services and upstreams in force.
     *
     * @param text the services text
     * @param extraUpstreams upstreams of the VM list by service
     * @param leaving upstreams that get no new call, whether the text names them or not
     */
    void apply(ServicesText text, Map<String, List<Upstream>> extraUpstreams, Set<UpstreamId> leaving);

    /** Called on each control tick. */
    void tick();

    /** This daemon's calls in progress and recent failures by service; upstreams without either may be left out. */
    Map<String, Map<UpstreamId, OwnUpstreamLoad>> ownLoads();

    /** Replaces what is known of one peer's calls in progress, for the named services only. */
    void peerLoads(long incarnation, Map<String, Map<UpstreamId, Integer>> inFlight);

    /** Forgets the loads of a peer that stopped or cannot be reached. */
    void peerGone(long incarnation);
}
