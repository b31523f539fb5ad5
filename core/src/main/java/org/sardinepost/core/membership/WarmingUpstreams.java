package org.sardinepost.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Remembers since when the VM list shows upstreams as warming up.
 *
 * <p>The list has only a flag, since a remaining time would change the list all the time. The time therefore begins with
 * the first list that shows the flag for a process, which is later than its start. Not thread-safe.
 */
final class WarmingUpstreams {
    private final Map<UpstreamId, Warming> warming = new HashMap<>();

    /** Applies a VM list; returns whether an upstream was added or removed. */
    boolean apply(VmList list, long nowNanos) {
        Set<UpstreamId> flagged = new HashSet<>();
        boolean changed = false;
        for (Vm vm : list.vms()) {
            if (!vm.warmingUp() || vm.role() != VmRole.UPSTREAM) {
                continue;
            }
            flagged.add(vm.address());
            Warming previous = warming.get(vm.address());
            if (previous == null || !previous.instance().equals(vm.instance())) {
                warming.put(vm.address(), new Warming(vm.instance(), nowNanos));
                changed = true;
            }
        }
        return warming.keySet().retainAll(flagged) || changed;
    }

    /** Returns since when each upstream has been listed as warming up, on the monotonic clock. */
    Map<UpstreamId, Long> sinceNanos() {
        if (warming.isEmpty()) {
            return Map.of();
        }
        Map<UpstreamId, Long> since = new HashMap<>();
        warming.forEach((upstream, value) -> since.put(upstream, value.sinceNanos()));
        return since;
    }

    private record Warming(Optional<String> instance, long sinceNanos) {}
}
