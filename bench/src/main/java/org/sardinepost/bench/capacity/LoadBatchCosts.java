package org.sardinepost.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** Measures the cost of one load batch between daemons against the number of upstreams in the batch. */
final class LoadBatchCosts {
    private static final int[] UPSTREAM_COUNTS = {10, 40, 160};
    private static final int UPSTREAMS_PER_SERVICE = 10;
    private static final String SIZE_UNIT = "upstreams in a batch";

    private LoadBatchCosts() {}

    static List<LinearFit> measure() {
        return List.of(
                fit("load batch", "bytes", upstreams -> batch(upstreams).toByteArray().length),
                fit(
                        "encode a load batch",
                        "us",
                        upstreams -> MicroBenchmark.medianMicros(
                                () -> batch(upstreams).toByteArray())),
                fit("decode a load batch", "us", LoadBatchCosts::decodeMicros));
    }

    private static LinearFit fit(String name, String unit, IntToDoubleFunction cost) {
        return LinearFits.measureCost(name, SIZE_UNIT, unit, UPSTREAM_COUNTS, cost);
    }

    private static PeerMessage batch(int upstreams) {
        LoadBatch.Builder batch = LoadBatch.newBuilder();
        for (int firstUpstream = 0; firstUpstream < upstreams; firstUpstream += UPSTREAMS_PER_SERVICE) {
            batch.addServices(service(firstUpstream));
        }
        return PeerMessage.newBuilder().setLoadBatch(batch).build();
    }

    private static ServiceLoad service(int firstUpstream) {
        ServiceLoad.Builder service = ServiceLoad.newBuilder().setService("service-" + firstUpstream);
        for (int i = 0; i < UPSTREAMS_PER_SERVICE; i++) {
            service.addUpstreams(UpstreamLoad.newBuilder()
                    .setAddress("10.0." + firstUpstream % 256 + "." + i + ":8080")
                    .setInFlight(i));
        }
        return service.build();
    }

    private static double decodeMicros(int upstreams) {
        byte[] bytes = batch(upstreams).toByteArray();
        return MicroBenchmark.medianMicros(() -> decode(bytes));
    }

    private static PeerMessage decode(byte[] bytes) {
        try {
            return PeerMessage.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("failed to decode a load batch that was just encoded", e);
        }
    }
}
