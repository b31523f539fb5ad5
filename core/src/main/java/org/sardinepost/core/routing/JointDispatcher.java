package org.sardinepost.core.routing;

import java.util.List;
import java.util.Map;
import org.sardinepost.core.measuring.ProbeCandidate;

/** A dispatcher that also takes the loads of other daemons into account. */
public interface JointDispatcher extends Dispatcher {
    /** Replaces what is known of one peer's calls in progress. Upstreams that are not in the map have none. */
    void peerLoads(long peerIncarnation, Map<UpstreamId, Integer> inFlight, long nowNanos);

    /** Forgets the loads of a peer that stopped or whose connection was lost. */
    void peerGone(long peerIncarnation);

    /** This daemon's loads on the upstreams that have calls in progress or recent failures. */
    List<OwnLoad> ownLoads();

    /** The number of upstreams that get trial calls only. */
    int ejectedUpstreams();

    /** Records the load that an upstream told a probe. */
    void probed(UpstreamId upstream, ReportedLoad load, long nowNanos);

    /** The upstreams that a probe could tell something about, with the age of what is known. */
    List<ProbeCandidate> probeCandidates(long nowNanos);
}
