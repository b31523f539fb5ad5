package org.sardinepost.peer;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** Utilities for load batches. */
final class LoadBatches {
    private LoadBatches() {}

    /**
     * Merges two batches into one with the newest load of each upstream.
     *
     * <p>A batch contains only changed loads, so discarding the older one would lose the changes of upstreams that are
     * not in the newer one.
     */
    static LoadBatch merge(LoadBatch older, LoadBatch newer) {
        Map<String, Map<String, UpstreamLoad>> loadsByService = new LinkedHashMap<>();
        putLoads(loadsByService, older);
        putLoads(loadsByService, newer);
        LoadBatch.Builder merged = LoadBatch.newBuilder();
        loadsByService.forEach((service, loads) ->
                merged.addServices(ServiceLoad.newBuilder().setService(service).addAllUpstreams(loads.values())));
        return merged.build();
    }

    private static void putLoads(Map<String, Map<String, UpstreamLoad>> loadsByService, LoadBatch batch) {
        for (ServiceLoad service : batch.getServicesList()) {
            Map<String, UpstreamLoad> loadsByAddress =
                    loadsByService.computeIfAbsent(service.getService(), name -> new LinkedHashMap<>());
            service.getUpstreamsList().forEach(load -> loadsByAddress.put(load.getAddress(), load));
        }
    }
}
