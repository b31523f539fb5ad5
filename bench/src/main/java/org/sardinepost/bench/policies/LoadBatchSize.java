package org.sardinepost.bench.policies;

import java.util.List;
import org.sardinepost.core.routing.OwnLoad;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** Computes the size of a load batch on the network. */
final class LoadBatchSize {
    /** Size of the length prefix of the frame (2), the TCP header (32) and the IPv4 header (20). */
    private static final int FRAMING_OVERHEAD_BYTES = 2 + 32 + 20;

    private LoadBatchSize() {}

    static int bytes(List<OwnLoad> loads) {
        ServiceLoad.Builder service = ServiceLoad.newBuilder().setService("order-status");
        for (OwnLoad load : loads) {
            service.addUpstreams(UpstreamLoad.newBuilder()
                    .setAddress(load.upstream().toString())
                    .setInFlight(load.inFlight())
                    .setRecentFailures(load.recentFailures()));
        }
        LoadBatch batch = LoadBatch.newBuilder().addServices(service).build();
        return FRAMING_OVERHEAD_BYTES
                + PeerMessage.newBuilder().setLoadBatch(batch).build().getSerializedSize();
    }
}
