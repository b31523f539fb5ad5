package org.sardinepost.core.membership;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.sardinepost.core.routing.UpstreamId;

/**
 * What one daemon knows about the daemons of the fleet.
 *
 * @param self the peer address of this daemon
 * @param active the daemons it is connected to and itself, without those that are stopping; the same object until it
 *     changes
 * @param known the daemons that it knows, connected or not, and itself
 * @param departed the daemons that announced that they are stopping
 */
public record FleetView(UpstreamId self, List<RoleCandidate> active, Set<UpstreamId> known, Set<UpstreamId> departed) {
    public FleetView {
        Objects.requireNonNull(self);
        Objects.requireNonNull(active);
        known = Set.copyOf(known);
        departed = Set.copyOf(departed);
    }
}
