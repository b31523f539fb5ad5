package org.sardinepost.core.membership;

import java.util.Collection;
import java.util.List;

/**
 * Orders the daemons that can take on a role that one daemon performs for all, such as the placement of the calls to a
 * service.
 *
 * <p>The load of a role grows with the fleet, and the smallest VMs of a large fleet cannot bear it. Daemons with less than
 * half of the capacity of the largest one therefore come after all others. Within both groups rendezvous hashing decides, so
 * that different roles go to different daemons.
 */
public final class RoleOrder {
    private static final double AMPLE_FRACTION = 0.5;

    private RoleOrder() {}

    /** Returns the candidates in the order in which they take on the role. */
    public static List<RoleCandidate> ordered(Collection<RoleCandidate> candidates, long roleKey) {
        double ampleCapacity = ampleCapacity(candidates);
        return candidates.stream()
                .sorted((first, second) -> precedes(first, second, ampleCapacity, roleKey) ? -1 : 1)
                .toList();
    }

    /** Returns the number of candidates that take on the role before the given one. */
    public static int rank(RoleCandidate candidate, Collection<RoleCandidate> others, long roleKey) {
        double ampleCapacity = Math.max(AMPLE_FRACTION * candidate.capacity(), ampleCapacity(others));
        return (int) others.stream()
                .filter(other -> precedes(other, candidate, ampleCapacity, roleKey))
                .count();
    }

    private static double ampleCapacity(Collection<RoleCandidate> candidates) {
        return AMPLE_FRACTION
                * candidates.stream().mapToDouble(RoleCandidate::capacity).max().orElse(0);
    }

    private static boolean precedes(RoleCandidate first, RoleCandidate second, double ampleCapacity, long roleKey) {
        boolean firstAmple = first.capacity() >= ampleCapacity;
        boolean secondAmple = second.capacity() >= ampleCapacity;
        return firstAmple == secondAmple
                ? RendezvousHash.precedes(
                        first.address().toString(), second.address().toString(), roleKey)
                : firstAmple;
    }
}
