package org.sardinepost.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sardinepost.core.membership.Evacuation;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.ServicesText;

/** The call routing that the control plane updates. Called on the control thread. */
public interface RoutingTarget {
    /**
     * Applies the services and upstreams.
     *
     * @param text the services text
     * @param extraUpstreams upstreams from the VM list, by service
     * @param leaving upstreams that get no new calls, whether they are in the text or not
     * @param evacuation the evacuated failure domains, with their upstreams from the VM list and the text
     * @param coldSinceNanos since when upstreams have been cold, on the monotonic clock
     */
    void apply(
            ServicesText text,
            Map<String, List<Upstream>> extraUpstreams,
            Set<UpstreamId> leaving,
            Evacuation evacuation,
            Map<UpstreamId, Long> coldSinceNanos);

    /** Runs periodic work; called on each control tick. */
    void tick();

    /**
     * Returns this daemon's calls in progress and recent failures, by service; upstreams that have neither may be
     * omitted.
     */
    Map<String, Map<UpstreamId, OwnUpstreamLoad>> ownLoads();

    /** Replaces the calls in progress of one peer, for the services in the map only. */
    void updatePeerLoad(long incarnation, Map<String, Map<UpstreamId, Integer>> inFlight);

    /** Removes the loads of a peer that stopped or cannot be reached. */
    void removePeer(long incarnation);
}
