package org.sardinepost.core.membership;

import java.util.Objects;
import org.sardinepost.core.routing.UpstreamId;

/**
 * A daemon that can take on a role for the whole fleet.
 *
 * @param address the peer address of the daemon
 * @param capacity its processor capacity in cores
 */
public record RoleCandidate(UpstreamId address, double capacity) {
    /** The capacity of a daemon that does not tell it. */
    public static final double DEFAULT_CAPACITY = 1;

    public RoleCandidate {
        Objects.requireNonNull(address);
    }
}
