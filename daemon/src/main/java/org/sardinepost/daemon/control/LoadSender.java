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
 * <p>The loads of one service sent to one peer count as one measuring message. Peers are served round-robin, and each
 * message contains only the changes since the last one to the same peer. Peers of other regions get no loads, since a
 * load would be older on arrival than the calls that it describes.
 */
final class LoadSender {
    /** The interval at which the budgets are checked; no service sends more often. */
    static final long INTERVAL_MILLIS = 40;

    private final Supplier<List<UpstreamId>> recipients;
    private final BiConsumer<UpstreamId, LoadBatch> transport;
    private final RoutingTarget target;
    private final ByteBudget byteBudget;
    private final Clock clock;
    private final Map<String, ServiceSendState> sendStates = new HashMap<>();
    private final Map<UpstreamId, Map<String, Map<UpstreamId, OwnUpstreamLoad>>> lastSent = new HashMap<>();
    private long delayedBatches;

    /**
     * Creates a sender, which sends nothing until {@link #updateBudgets} is called.
     *
     * @param recipients supplies the peer addresses of the connected peers of the region
     * @param transport sends a batch to a peer
     */
    LoadSender(
            Supplier<List<UpstreamId>> recipients,
            BiConsumer<UpstreamId, LoadBatch> transport,
            RoutingTarget target,
            ByteBudget byteBudget,
            Clock clock) {
        this.recipients = recipients;
        this.transport = transport;
        this.target = target;
        this.byteBudget = byteBudget;
        this.clock = clock;
    }

    /** Applies the measuring budgets of a services text. Existing budgets keep the time of their last message. */
    void updateBudgets(ServicesText text) {
        long now = clock.nanos();
        sendStates.keySet().removeIf(name -> text.service(name).isEmpty());
        for (Service service : text.services()) {
            sendStates
                    .computeIfAbsent(
                            service.name(),
                            name -> new ServiceSendState(
                                    new MeasuringBudget(service.measuringBudgetPerSecond(), text.daemonCeiling(), now)))
                    .budget()
                    .reconfigure(service.measuringBudgetPerSecond(), text.daemonCeiling());
        }
    }

    /** Sends the messages that are due; called every {@link #INTERVAL_MILLIS}. */
    void tick() {
        List<UpstreamId> peers = recipients.get();
        lastSent.keySet().retainAll(peers);
        if (peers.isEmpty()) {
            return;
        }
        long now = clock.nanos();
        Map<String, Map<UpstreamId, OwnUpstreamLoad>> current = target.ownLoads();
        sendStates.forEach((service, sendState) -> {
            if (sendState.budget().waitNanos(now) == 0) {
                send(service, sendState, peers, current.getOrDefault(service, Map.of()), now);
            }
        });
    }

    /** Sends the changed loads to the next peer in the rotation for which any load has changed. */
    private void send(
            String service,
            ServiceSendState sendState,
            List<UpstreamId> peers,
            Map<UpstreamId, OwnUpstreamLoad> current,
            long now) {
        for (int attempt = 0; attempt < peers.size(); attempt++) {
            UpstreamId peer = sendState.nextPeer(peers);
            Map<String, Map<UpstreamId, OwnUpstreamLoad>> known =
                    lastSent.computeIfAbsent(peer, address -> new HashMap<>());
            LoadBatch batch = changes(Map.of(service, known.getOrDefault(service, Map.of())), Map.of(service, current));
            if (batch.getServicesCount() == 0) {
                continue;
            }
            if (!byteBudget.tryCharge(batch.getSerializedSize() + (long) ByteBudget.OVERHEAD_BYTES, now)) {
                delayedBatches++;
                return;
            }
            if (sendState.budget().tryTake(now)) {
                known.put(service, current);
                transport.accept(peer, batch);
            }
            return;
        }
    }

    /** Discards the loads last sent to a peer, since the peer has no loads after a new connection. */
    void resetPeer(UpstreamId peer) {
        lastSent.remove(peer);
    }

    /** Returns the number of times that a message was delayed by the byte budget. */
    long delayedBatches() {
        return delayedBatches;
    }

    static LoadBatch changes(
            Map<String, Map<UpstreamId, OwnUpstreamLoad>> previousLoads,
            Map<String, Map<UpstreamId, OwnUpstreamLoad>> currentLoads) {
        LoadBatch.Builder batch = LoadBatch.newBuilder();
        TreeSet<String> services = new TreeSet<>(previousLoads.keySet());
        services.addAll(currentLoads.keySet());
        for (String service : services) {
            ServiceLoad.Builder loads = ServiceLoad.newBuilder().setService(service);
            Map<UpstreamId, OwnUpstreamLoad> previous = previousLoads.getOrDefault(service, Map.of());
            Map<UpstreamId, OwnUpstreamLoad> current = currentLoads.getOrDefault(service, Map.of());
            changed(previous, current)
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
            Map<UpstreamId, OwnUpstreamLoad> previous, Map<UpstreamId, OwnUpstreamLoad> current) {
        Map<UpstreamId, OwnUpstreamLoad> changed = new HashMap<>();
        previous.keySet().forEach(upstream -> changed.put(upstream, OwnUpstreamLoad.NONE));
        changed.putAll(current);
        previous.forEach((upstream, load) -> changed.remove(upstream, load));
        return changed;
    }
}
