package org.sardinepost.bench.policies;

import java.util.List;
import org.sardinepost.core.routing.OwnLoad;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** The size of a batch on the wire. */
final class PeerBatch {
    /** Length prefix of the frame and the TCP and IPv4 headers of the segment. */
    private static final int FRAMING_BYTES = 2 + 32 + 20;

    private PeerBatch() {}

    static int bytes(List<OwnLoad> loads) {
        ServiceLoad.Builder service = ServiceLoad.newBuilder().setService("order-status");
        for (OwnLoad load : loads) {
            service.addUpstreams(UpstreamLoad.newBuilder()
                    .setAddress(load.upstream().toString())
                    .setInFlight(load.inFlight())
                    .setRecentFailures(load.recentFailures()));
        }
        LoadBatch batch = LoadBatch.newBuilder().addServices(service).build();
        return FRAMING_BYTES
                + PeerMessage.newBuilder().setLoadBatch(batch).build().getSerializedSize();
    }
}
