package org.sardinepost.daemon.metrics;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RetryReason;
import org.sardinepost.core.clients.CloseReason;

/** Metrics of calls: counters of calls, refusals and retries, and a histogram of the latency added by the daemon. */
public final class CallMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Densest around 0.65 ms, the maximum time that the daemon may add to a call at the 99th percentile. */
    private static final double[] ADDED_SECONDS_BUCKET_BOUNDS = {
        0.00005, 0.0001, 0.0002, 0.0003, 0.0004, 0.0005, 0.00065, 0.0008, 0.001, 0.002, 0.005, 0.01, 0.05
    };

    private final PrometheusRegistry registry;
    private final Counter calls;
    private final Map<RefusalReason, CounterDataPoint> refusals;
    private final Map<RetryReason, CounterDataPoint> retries;
    private final Map<CloseReason, CounterDataPoint> closedConnections;
    private final Counter recalledCalls;
    private final Counter pausedConnections;
    private final Histogram addedSeconds;

    public CallMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        this.calls = Counter.builder()
                .name("sardinepost_calls_total")
                .help("Calls that ended, by service and by what the caller was told of their outcome.")
                .labelNames("service", "outcome")
                .register(registry);
        this.refusals = registerReasonCounter(
                "sardinepost_refusals_total",
                "Calls that ended with an answer of the daemon.",
                RefusalReason.class,
                RefusalReason::label);
        this.retries = registerReasonCounter(
                "sardinepost_retries_total", "Calls sent to another upstream.", RetryReason.class, RetryReason::label);
        this.closedConnections = registerReasonCounter(
                "sardinepost_connections_closed_total",
                "Connections of callers that were closed to keep others served.",
                CloseReason.class,
                CloseReason::label);
        this.recalledCalls = Counter.builder()
                .name("sardinepost_calls_recalled_total")
                .help("Calls sent ahead that were cancelled since their caller did not read.")
                .register(registry);
        this.pausedConnections = Counter.builder()
                .name("sardinepost_connections_paused_total")
                .help("Refusals after which the requests behind on the connection were delayed.")
                .register(registry);
        this.addedSeconds = Histogram.builder()
                .name("sardinepost_added_seconds")
                .help("Time of a call in the daemon, without waiting for the caller, a place or an upstream.")
                .classicOnly()
                .classicUpperBounds(ADDED_SECONDS_BUCKET_BOUNDS)
                .register(registry);
    }

    /** Registers a counter with a data point per reason from the start, so that the first increment is visible as one. */
    private <R extends Enum<R>> Map<R, CounterDataPoint> registerReasonCounter(
            String name, String help, Class<R> reasons, Function<R, String> label) {
        Counter counter =
                Counter.builder().name(name).help(help).labelNames("reason").register(registry);
        Map<R, CounterDataPoint> dataPoints = new EnumMap<>(reasons);
        Arrays.stream(reasons.getEnumConstants())
                .forEach(reason -> dataPoints.put(reason, counter.labelValues(label.apply(reason))));
        return dataPoints;
    }

    /** Registers a gauge whose value is read when metrics are collected. */
    public void registerGauge(String name, String help, LongSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(gauge -> gauge.call((double) value.getAsLong()))
                .register(registry);
    }

    /** Registers a gauge with a data point per reason whose values are read when metrics are collected. */
    public <R extends Enum<R>> void registerReasonGauge(
            String name, String help, Class<R> reasons, Function<R, String> label, ToLongFunction<R> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames("reason")
                .callback(gauge -> Arrays.stream(reasons.getEnumConstants())
                        .forEach(reason -> gauge.call((double) value.applyAsLong(reason), label.apply(reason))))
                .register(registry);
    }

    public void callEnded(String service, Outcome outcome, long ownNanos) {
        calls.labelValues(service, outcome.label()).inc();
        addedSeconds.observe(ownNanos / NANOS_PER_SECOND);
    }

    public void refused(RefusalReason reason) {
        refusals.get(reason).inc();
    }

    public void connectionClosed(CloseReason reason) {
        closedConnections.get(reason).inc();
    }

    public void callsRecalled(int count) {
        recalledCalls.inc(count);
    }

    public void connectionPaused() {
        pausedConnections.inc();
    }

    public void retried(RetryReason reason) {
        retries.get(reason).inc();
    }
}
