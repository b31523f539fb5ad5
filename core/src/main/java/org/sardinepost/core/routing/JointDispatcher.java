package org.sardinepost.core.routing;

import java.util.List;
import java.util.Map;
import org.sardinepost.core.measuring.ProbeCandidate;

/** A dispatcher that takes the load from other daemons into account. */
public interface JointDispatcher extends Dispatcher {
    /** Replaces the known calls in progress of one peer. Upstreams missing from the map have none. */
    void updatePeerLoad(long peerIncarnation, Map<UpstreamId, Integer> inFlight, long nowNanos);

    /** Discards the load of a peer that stopped or whose connection was lost. */
    void removePeer(long peerIncarnation);

    /** Returns this daemon's load on the upstreams that have calls in progress or recent failures. */
    List<OwnLoad> ownLoads();

    /** Returns the number of ejected upstreams, which receive only trial calls. */
    int ejectedUpstreams();

    /** Records the load that an upstream reported in response to a probe. */
    void recordProbeResponse(UpstreamId upstream, ReportedLoad load, long nowNanos);

    /** Returns the upstreams that may be probed, with the age of their load information. */
    List<ProbeCandidate> probeCandidates(long nowNanos);
}
