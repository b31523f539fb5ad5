package org.sardinepost.daemon.placement;

import java.util.List;
import org.sardinepost.core.membership.RoleCandidate;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.PeerMessage;

/** The daemons that can coordinate placement, and the transport to them. Thread-safe. */
public interface PlacementPeers {
    /** Returns the peer address of this daemon. */
    UpstreamId localAddress();

    /**
     * Returns all connected daemons and this daemon, without those that are stopping. The list is the same object until it
     * changes.
     */
    List<RoleCandidate> activeDaemons();

    /** Sends a message, which is dropped if there is no connection to the peer. */
    void send(UpstreamId peer, PeerMessage message);
}
