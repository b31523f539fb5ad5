package org.sardinepost.daemon.control;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.sardinepost.core.configuration.StartDecision;
import org.sardinepost.peer.MessageKind;
import org.sardinepost.peer.PeerCounters;
import org.sardinepost.peer.PeerFault;

/** The metrics of the control plane; their values are read on each collection. */
final class ControlMetrics {
    private final PrometheusRegistry registry;
    private final Supplier<ControlStatus> status;

    private ControlMetrics(PrometheusRegistry registry, Supplier<ControlStatus> status) {
        this.registry = registry;
        this.status = status;
    }

    static void register(PrometheusRegistry registry, Supplier<ControlStatus> status, PeerCounters counters) {
        ControlMetrics metrics = new ControlMetrics(registry, status);
        metrics.registerConfiguration();
        metrics.registerMembership();
        metrics.registerPeers(counters);
    }

    private void registerConfiguration() {
        gauge("sardinepost_configuration_version", "Version of the services text in force.", ControlStatus::version);
        gauge(
                "sardinepost_configuration_revision",
                "Platform revision of the services text in force.",
                ControlStatus::revision);
        gauge(
                "sardinepost_configuration_conflict",
                "1 while two texts with the version in force are known.",
                current -> toNumber(current.conflict().isPresent()));
        gauge(
                "sardinepost_configuration_refused",
                "1 while the last services text from the source has faults.",
                current -> toNumber(current.refused().isPresent()));
        gauge(
                "sardinepost_configuration_source_down",
                "1 while the services text cannot be read from its source.",
                current -> toNumber(current.configurationSourceDown()));
        gauge(
                "sardinepost_source_state_age_seconds",
                "Time since the source had the state that this daemon holds; 0 if it holds none.",
                current -> current.sourceStateAgeMillis().orElse(0L) / 1e3);
        gauge(
                "sardinepost_start_unproven",
                "1 if the daemon became ready without a peer that confirmed its version.",
                current -> toNumber(current.start() == StartDecision.READY_UNPROVEN));
        counter(
                "sardinepost_configuration_fetches",
                "Reads of the whole services text from its source.",
                ControlStatus::fetches);
    }

    private void registerMembership() {
        gauge(
                "sardinepost_vm_list_source_down",
                "1 while the VM list cannot be read from its source.",
                current -> toNumber(current.vmListSourceDown()));
        gauge(
                "sardinepost_upstreams_leaving",
                "Upstreams that get no new call because they are leaving.",
                current -> current.leavingUpstreams().size());
        counter("sardinepost_pauses", "Pauses of the process above 1 s.", ControlStatus::pauses);
    }

    private void registerPeers(PeerCounters counters) {
        gauge("sardinepost_peers", "Known peers.", ControlStatus::peers);
        gauge("sardinepost_peers_connected", "Connected peers.", current -> current.connectedPeers()
                .size());
        counter(
                "sardinepost_load_batches_delayed",
                "Load batches that waited for the byte limit of control traffic.",
                ControlStatus::delayedLoadBatches);
        CounterWithCallback.builder()
                .name("sardinepost_peer_bytes")
                .help("Bytes of peer messages by kind.")
                .labelNames("kind", "direction")
                .callback(callback -> {
                    for (MessageKind kind : MessageKind.values()) {
                        callback.call((double) counters.sentBytes(kind), kind.label(), "sent");
                        callback.call((double) counters.receivedBytes(kind), kind.label(), "received");
                    }
                })
                .register(registry);
        CounterWithCallback.builder()
                .name("sardinepost_peer_messages")
                .help("Peer messages by kind.")
                .labelNames("kind", "direction")
                .callback(callback -> {
                    for (MessageKind kind : MessageKind.values()) {
                        callback.call((double) counters.sentMessages(kind), kind.label(), "sent");
                        callback.call((double) counters.receivedMessages(kind), kind.label(), "received");
                    }
                })
                .register(registry);
        CounterWithCallback.builder()
                .name("sardinepost_peer_faults")
                .help("Faults of peer connections and messages.")
                .labelNames("fault")
                .callback(callback -> {
                    for (PeerFault fault : PeerFault.values()) {
                        callback.call((double) counters.faults(fault), fault.label());
                    }
                })
                .register(registry);
    }

    private void gauge(String name, String help, ToDoubleFunction<ControlStatus> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.applyAsDouble(status.get())))
                .register(registry);
    }

    private void counter(String name, String help, ToDoubleFunction<ControlStatus> value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.applyAsDouble(status.get())))
                .register(registry);
    }

    private static double toNumber(boolean value) {
        return value ? 1 : 0;
    }
}
