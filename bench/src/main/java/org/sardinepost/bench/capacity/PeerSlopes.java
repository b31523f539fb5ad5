package org.sardinepost.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** Cost of one load batch between daemons over the upstreams it names. */
final class PeerSlopes {
    private static final int[] UPSTREAMS = {10, 40, 160};
    private static final int UPSTREAMS_PER_SERVICE = 10;
    private static final String SIZE_UNIT = "upstreams in a batch";

    private PeerSlopes() {}

    static List<Slope> measure() {
        return List.of(
                slope("load batch", "bytes", upstreams -> batch(upstreams).toByteArray().length),
                slope(
                        "encode a load batch",
                        "us",
                        upstreams -> Sampler.medianMicros(() -> batch(upstreams).toByteArray())),
                slope("decode a load batch", "us", PeerSlopes::decodeMicros));
    }

    private static Slope slope(String name, String unit, IntToDoubleFunction value) {
        return Slopes.over(name, SIZE_UNIT, unit, UPSTREAMS, value);
    }

    private static PeerMessage batch(int upstreams) {
        LoadBatch.Builder batch = LoadBatch.newBuilder();
        for (int first = 0; first < upstreams; first += UPSTREAMS_PER_SERVICE) {
            batch.addServices(service(first));
        }
        return PeerMessage.newBuilder().setLoadBatch(batch).build();
    }

    private static ServiceLoad service(int first) {
        ServiceLoad.Builder service = ServiceLoad.newBuilder().setService("service-" + first);
        for (int i = 0; i < UPSTREAMS_PER_SERVICE; i++) {
            service.addUpstreams(UpstreamLoad.newBuilder()
                    .setAddress("10.0." + first % 256 + "." + i + ":8080")
                    .setInFlight(i));
        }
        return service.build();
    }

    private static double decodeMicros(int upstreams) {
        byte[] bytes = batch(upstreams).toByteArray();
        return Sampler.medianMicros(() -> decode(bytes));
    }

    private static PeerMessage decode(byte[] bytes) {
        try {
            return PeerMessage.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the bytes are those of a batch that was just encoded", e);
        }
    }
}
