package org.sardinepost.peer;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** Combines load batches. */
final class LoadBatches {
    private LoadBatches() {}

    /**
     * One batch in place of two: for each upstream the newer load.
     *
     * <p>A batch holds only what changed, so dropping the older one would lose changes of upstreams that the newer one does
     * not name.
     */
    static LoadBatch merge(LoadBatch older, LoadBatch newer) {
        Map<String, Map<String, UpstreamLoad>> services = new LinkedHashMap<>();
        add(services, older);
        add(services, newer);
        LoadBatch.Builder merged = LoadBatch.newBuilder();
        services.forEach((service, upstreams) ->
                merged.addServices(ServiceLoad.newBuilder().setService(service).addAllUpstreams(upstreams.values())));
        return merged.build();
    }

    private static void add(Map<String, Map<String, UpstreamLoad>> services, LoadBatch batch) {
        for (ServiceLoad service : batch.getServicesList()) {
            Map<String, UpstreamLoad> upstreams =
                    services.computeIfAbsent(service.getService(), name -> new LinkedHashMap<>());
            service.getUpstreamsList().forEach(load -> upstreams.put(load.getAddress(), load));
        }
    }
}
