package org.sardinepost.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.routing.UpstreamId;

/** Guards against roles of the whole fleet on VMs that are too small for them. */
final class RoleOrderTest {
    private static final int ROLES = 200;

    /** 8 large VMs and 111 small ones, as in a fleet that has grown. */
    private static List<RoleCandidate> grownFleet() {
        return IntStream.range(0, 119)
                .mapToObj(index -> new RoleCandidate(address(index), index < 8 ? 1.5 : 0.3))
                .toList();
    }

    private static UpstreamId address(int index) {
        return new UpstreamId("10.0.0." + index, 80);
    }

    private static List<RoleCandidate> ordered(List<RoleCandidate> candidates, int role) {
        return RoleOrder.ordered(candidates, RendezvousHash.keyOf("role " + role));
    }

    @Test
    void largeVmsTakeOnAllRolesAndShareThem() {
        List<RoleCandidate> fleet = grownFleet();
        Set<RoleCandidate> first = IntStream.range(0, ROLES)
                .mapToObj(role -> ordered(fleet, role).get(0))
                .collect(Collectors.toSet());

        assertThat(first).containsExactlyElementsIn(fleet.subList(0, 8));
    }

    @Test
    void smallVmsTakeOnTheRolesWhenTheLargeOnesAreGone() {
        List<RoleCandidate> small = grownFleet().subList(8, 119);

        assertThat(ordered(small, 1)).containsExactlyElementsIn(small);
        assertThat(ordered(grownFleet(), 1).subList(8, 119))
                .containsExactlyElementsIn(ordered(small, 1))
                .inOrder();
    }

    @Test
    void vmsOfSimilarCapacityShareTheRoles() {
        List<RoleCandidate> similar = List.of(new RoleCandidate(address(1), 1), new RoleCandidate(address(2), 0.6));
        long firstRoles = IntStream.range(0, ROLES)
                .filter(role -> ordered(similar, role).get(0).equals(similar.get(0)))
                .count();

        assertThat(firstRoles).isGreaterThan(ROLES / 3L);
        assertThat(firstRoles).isLessThan(2 * ROLES / 3L);
    }

    @Test
    void rankIsThePositionInTheOrder() {
        List<RoleCandidate> shuffled = new ArrayList<>(grownFleet());
        Collections.shuffle(shuffled, new Random(1));
        for (int role = 0; role < 10; role++) {
            List<RoleCandidate> order = ordered(shuffled, role);
            for (RoleCandidate candidate : shuffled) {
                List<RoleCandidate> others = shuffled.stream()
                        .filter(other -> !other.equals(candidate))
                        .toList();
                assertThat(RoleOrder.rank(candidate, others, RendezvousHash.keyOf("role " + role)))
                        .isEqualTo(order.indexOf(candidate));
            }
        }
    }
}
