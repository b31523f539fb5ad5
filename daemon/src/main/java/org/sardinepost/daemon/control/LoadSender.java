package org.sardinepost.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.sardinepost.core.measuring.MeasuringBudget;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/**
 * Sends this daemon's calls in progress to the peers of its region, within the measuring budget of each service.
 *
 * <p>The loads of one service to one peer are one measuring message. Peers take turns. Each message holds what changed
 * since the last one to the same peer. Across regions the loads would be older than the calls that they describe.
 */
final class LoadSender {
    /** The interval at which the budgets are asked; no service sends more often. */
    static final long INTERVAL_MILLIS = 40;

    private final Supplier<List<UpstreamId>> receivers;
    private final BiConsumer<UpstreamId, LoadBatch> transport;
    private final RoutingTarget target;
    private final ByteBudget bytes;
    private final Clock clock;
    private final Map<String, ServiceShare> shares = new HashMap<>();
    private final Map<UpstreamId, Map<String, Map<UpstreamId, OwnUpstreamLoad>>> sent = new HashMap<>();
    private long delayed;

    /**
     * A sender that has no budget yet.
     *
     * @param receivers peer addresses of the connected peers of the region
     * @param transport sends a batch to one of them
     */
    LoadSender(
            Supplier<List<UpstreamId>> receivers,
            BiConsumer<UpstreamId, LoadBatch> transport,
            RoutingTarget target,
            ByteBudget bytes,
            Clock clock) {
        this.receivers = receivers;
        this.transport = transport;
        this.target = target;
        this.bytes = bytes;
        this.clock = clock;
    }

    /** Puts the measuring budgets of a services text in force. Budgets of services that stay keep their last message. */
    void textInForce(ServicesText text) {
        long now = clock.nanos();
        shares.keySet().removeIf(name -> text.service(name).isEmpty());
        for (Service service : text.services()) {
            shares.computeIfAbsent(
                            service.name(),
                            name -> new ServiceShare(
                                    new MeasuringBudget(service.measuringBudgetPerSecond(), text.daemonCeiling(), now)))
                    .budget()
                    .change(service.measuringBudgetPerSecond(), text.daemonCeiling());
        }
    }

    /** Called every {@link #INTERVAL_MILLIS}. */
    void tick() {
        List<UpstreamId> peers = receivers.get();
        sent.keySet().retainAll(peers);
        if (peers.isEmpty()) {
            return;
        }
        long now = clock.nanos();
        Map<String, Map<UpstreamId, OwnUpstreamLoad>> current = target.ownLoads();
        shares.forEach((service, share) -> {
            if (share.budget().waitNanos(now) == 0) {
                send(service, share, peers, current.getOrDefault(service, Map.of()), now);
            }
        });
    }

    /** Sends to the next peer, in turn, for which something changed. */
    private void send(
            String service,
            ServiceShare share,
            List<UpstreamId> peers,
            Map<UpstreamId, OwnUpstreamLoad> current,
            long now) {
        for (int tried = 0; tried < peers.size(); tried++) {
            UpstreamId peer = share.next(peers);
            Map<String, Map<UpstreamId, OwnUpstreamLoad>> known =
                    sent.computeIfAbsent(peer, address -> new HashMap<>());
            LoadBatch batch = changes(Map.of(service, known.getOrDefault(service, Map.of())), Map.of(service, current));
            if (batch.getServicesCount() == 0) {
                continue;
            }
            if (!bytes.tryCharge(batch.getSerializedSize() + (long) ByteBudget.OVERHEAD_BYTES, now)) {
                delayed++;
                return;
            }
            if (share.budget().tryTake(now)) {
                known.put(service, current);
                transport.accept(peer, batch);
            }
            return;
        }
    }

    /** Forgets what a peer was told: it knows nothing on a new connection. */
    void connected(UpstreamId peer) {
        sent.remove(peer);
    }

    /** Messages that waited for the byte budget. */
    long delayed() {
        return delayed;
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
