package org.sardinepost.daemon.control;

import java.util.List;
import org.sardinepost.core.measuring.MeasuringBudget;
import org.sardinepost.core.routing.UpstreamId;

/** The measuring budget of one service on this daemon, and the position in the rotation of its peers. */
final class ServiceSendState {
    private final MeasuringBudget budget;
    private int position;

    ServiceSendState(MeasuringBudget budget) {
        this.budget = budget;
    }

    MeasuringBudget budget() {
        return budget;
    }

    /** Advances the rotation and returns the next peer. */
    UpstreamId nextPeer(List<UpstreamId> peers) {
        position = (position + 1) % peers.size();
        return peers.get(position);
    }
}
