package org.sardinepost.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/**
 * Sends this daemon's calls in progress to the peers of its region.
 *
 * <p>A batch holds only what changed since the previous one. Across regions the loads would be older than the calls that
 * they describe.
 */
final class LoadSender {
    /** The shortest interval between two batches. */
    static final long INTERVAL_MILLIS = 40;

    /** Without a batch for 1 s, receivers take this daemon as silent and forget its loads. */
    private static final long LONGEST_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final String region;
    private final RoutingTarget target;
    private final PeerTable peers;
    private final ByteBudget budget;
    private final Clock clock;
    private Map<String, Map<UpstreamId, OwnUpstreamLoad>> sent = Map.of();
    private long sentNanos;
    private long delayed;

    LoadSender(String region, RoutingTarget target, PeerTable peers, ByteBudget budget, Clock clock) {
        this.region = region;
        this.target = target;
        this.peers = peers;
        this.budget = budget;
        this.clock = clock;
        this.sentNanos = clock.nanos() - LONGEST_SILENCE_NANOS;
    }

    /** Called every {@link #INTERVAL_MILLIS}. */
    void tick() {
        List<Peer> receivers =
                peers.connected().stream().filter(this::sameRegion).toList();
        if (receivers.isEmpty()) {
            return;
        }
        Map<String, Map<UpstreamId, OwnUpstreamLoad>> current = target.ownLoads();
        LoadBatch batch = changes(sent, current);
        long now = clock.nanos();
        if (batch.getServicesCount() == 0 && now - sentNanos < LONGEST_SILENCE_NANOS) {
            return;
        }
        long bytes = receivers.size() * (batch.getSerializedSize() + (long) ByteBudget.OVERHEAD_BYTES);
        if (!budget.tryCharge(bytes, now)) {
            delayed++;
            return;
        }
        receivers.forEach(peer -> peers.sendLoad(peer, batch));
        sent = current;
        sentNanos = now;
    }

    /** Sends everything to a peer that just connected; the next batches build on it. */
    void connected(Peer peer) {
        if (sameRegion(peer)) {
            LoadBatch all = changes(Map.of(), sent);
            budget.charge(all.getSerializedSize() + (long) ByteBudget.OVERHEAD_BYTES, clock.nanos());
            peers.sendLoad(peer, all);
        }
    }

    /** Batches that waited for the byte budget. */
    long delayed() {
        return delayed;
    }

    private boolean sameRegion(Peer peer) {
        return peer.hello().filter(hello -> hello.getRegion().equals(region)).isPresent();
    }

    static LoadBatch changes(
            Map<String, Map<UpstreamId, OwnUpstreamLoad>> before, Map<String, Map<UpstreamId, OwnUpstreamLoad>> after) {
        LoadBatch.Builder batch = LoadBatch.newBuilder();
        TreeSet<String> services = new TreeSet<>(before.keySet());
        services.addAll(after.keySet());
        for (String service : services) {
            ServiceLoad.Builder loads = ServiceLoad.newBuilder().setService(service);
            Map<UpstreamId, OwnUpstreamLoad> old = before.getOrDefault(service, Map.of());
            Map<UpstreamId, OwnUpstreamLoad> current = after.getOrDefault(service, Map.of());
            changed(old, current)
                    .forEach((upstream, load) -> loads.addUpstreams(UpstreamLoad.newBuilder()
                            .setAddress(upstream.toString())
                            .setInFlight(load.inFlight())
                            .setRecentFailures(load.recentFailures())));
            if (loads.getUpstreamsCount() > 0) {
                batch.addServices(loads);
            }
        }
        return batch.build();
    }

    private static Map<UpstreamId, OwnUpstreamLoad> changed(
            Map<UpstreamId, OwnUpstreamLoad> old, Map<UpstreamId, OwnUpstreamLoad> current) {
        Map<UpstreamId, OwnUpstreamLoad> changed = new HashMap<>();
        old.keySet().forEach(upstream -> changed.put(upstream, OwnUpstreamLoad.NONE));
        changed.putAll(current);
        old.forEach((upstream, load) -> changed.remove(upstream, load));
        return changed;
    }
}
