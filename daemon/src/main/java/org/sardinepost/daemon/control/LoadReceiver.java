package org.sardinepost.daemon.control;

import java.util.HashMap;
import java.util.Map;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** Merges the load batches of each peer, which contain only changes, into its complete load. */
final class LoadReceiver {
    private final RoutingTarget target;
    private final Map<Long, Map<String, Map<UpstreamId, Integer>>> byIncarnation = new HashMap<>();

    LoadReceiver(RoutingTarget target) {
        this.target = target;
    }

    void handleBatch(long incarnation, LoadBatch batch) {
        Map<String, Map<UpstreamId, Integer>> loads =
                byIncarnation.computeIfAbsent(incarnation, added -> new HashMap<>());
        Map<String, Map<UpstreamId, Integer>> updated = new HashMap<>();
        for (ServiceLoad service : batch.getServicesList()) {
            if (service.getService().equals(LeavingMessages.NO_SERVICE)) {
                continue;
            }
            Map<UpstreamId, Integer> load = loads.computeIfAbsent(service.getService(), name -> new HashMap<>());
            apply(load, service);
            updated.put(service.getService(), Map.copyOf(load));
        }
        // Loads of services that are not in the batch are not reported, or they would count as up to date.
        if (!updated.isEmpty()) {
            target.updatePeerLoad(incarnation, updated);
        }
    }

    void removeIncarnation(long incarnation) {
        byIncarnation.remove(incarnation);
        target.removePeer(incarnation);
    }

    private static void apply(Map<UpstreamId, Integer> loads, ServiceLoad service) {
        for (UpstreamLoad load : service.getUpstreamsList()) {
            UpstreamId.parse(load.getAddress()).ifPresent(upstream -> {
                if (load.getInFlight() == 0) {
                    loads.remove(upstream);
                } else {
                    loads.put(upstream, load.getInFlight());
                }
            });
        }
    }
}
