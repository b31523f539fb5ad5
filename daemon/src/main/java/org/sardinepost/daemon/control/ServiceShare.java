package org.sardinepost.daemon.control;

import java.util.List;
import org.sardinepost.core.measuring.MeasuringBudget;
import org.sardinepost.core.routing.UpstreamId;

/** This daemon's share of one service's measuring budget, and whose turn it is to be told. */
final class ServiceShare {
    private final MeasuringBudget budget;
    private int turn;

    ServiceShare(MeasuringBudget budget) {
        this.budget = budget;
    }

    MeasuringBudget budget() {
        return budget;
    }

    /** The next peer in turn. */
    UpstreamId next(List<UpstreamId> peers) {
        turn = (turn + 1) % peers.size();
        return peers.get(turn);
    }
}
