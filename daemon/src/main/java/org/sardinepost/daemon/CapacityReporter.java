package org.sardinepost.daemon;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.admission.KindReport;
import org.sardinepost.core.admission.KindShareMonitor;
import org.sardinepost.daemon.call.RegisteredService;
import org.sardinepost.daemon.call.ServiceRegistry;
import org.sardinepost.daemon.log.LineRateLimiter;
import org.sardinepost.daemon.log.LogEvent;

/** Reports which kinds of call get the capacity: as metrics, log events and status lines. Thread-safe. */
final class CapacityReporter {
    private static final long REVIEW_MILLIS = 1_000;
    private static final int LOG_LINES_PER_SECOND = 1;

    private final ServiceRegistry registry;
    private final LongSupplier nanoClock;
    private final Map<String, KindShareMonitor> monitors = new HashMap<>();
    private final Map<String, Long> loggedDisplaced = new HashMap<>();
    private final LineRateLimiter belowLimit = new LineRateLimiter(LOG_LINES_PER_SECOND);
    private final LineRateLimiter recoveredLimit = new LineRateLimiter(LOG_LINES_PER_SECOND);
    private final LineRateLimiter displacedLimit = new LineRateLimiter(LOG_LINES_PER_SECOND);

    CapacityReporter(ServiceRegistry registry, LongSupplier nanoClock) {
        this.registry = registry;
        this.nanoClock = nanoClock;
    }

    /** Starts to log events. */
    void start(Scheduler scheduler) {
        scheduler.schedule(
                () -> {
                    start(scheduler);
                    review();
                },
                REVIEW_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void registerMetrics(PrometheusRegistry metrics) {
        CounterWithCallback.builder()
                .name("sardinepost_kind_calls_total")
                .help("Calls that this daemon handled as the coordinator, by what became of them.")
                .labelNames("service", "kind", "priority", "outcome")
                .callback(callback -> reports()
                        .forEach((service, reports) -> reports.forEach(report -> {
                            String priority = String.valueOf(report.priority());
                            callback.call((double) report.dispatched(), service, report.kind(), priority, "dispatched");
                            callback.call((double) report.displaced(), service, report.kind(), priority, "displaced");
                            callback.call(
                                    (double) report.refusedAtOnce(),
                                    service,
                                    report.kind(),
                                    priority,
                                    "refused-at-once");
                            callback.call(
                                    (double) report.refusedAfterWait(),
                                    service,
                                    report.kind(),
                                    priority,
                                    "refused-after-wait");
                        })))
                .register(metrics);
        registerGauge(metrics, "sardinepost_kind_queued", "Queued calls.", KindReport::queued);
        registerGauge(
                metrics,
                "sardinepost_kind_slots_held_free",
                "Slots that less urgent calls leave free for the kind.",
                KindReport::slotsHeldFree);
        registerGauge(
                metrics,
                "sardinepost_kind_below_guaranteed_share",
                "1 while the kind is served less than its guaranteed share.",
                report -> report.belowGuaranteedShare() ? 1 : 0);
    }

    private void registerGauge(
            PrometheusRegistry metrics, String name, String help, ToDoubleFunction<KindReport> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames("service", "kind", "priority")
                .callback(callback -> reports()
                        .forEach((service, reports) -> reports.forEach(report -> callback.call(
                                value.applyAsDouble(report),
                                service,
                                report.kind(),
                                String.valueOf(report.priority())))))
                .register(metrics);
    }

    /** Returns a line for each service that displaces calls or holds slots free. */
    List<String> statusLines() {
        List<String> lines = new ArrayList<>();
        reports().forEach((service, reports) -> {
            int displaced =
                    reports.stream().mapToInt(KindReport::displacedRecently).sum();
            KindReport first = reports.stream()
                    .max(Comparator.comparingInt(KindReport::slotsHeldFree))
                    .orElseThrow();
            if (displaced > 0 || first.slotsHeldFree() > 0) {
                String heldFor = first.slotsHeldFree() == 0
                        ? ""
                        : " for " + first.kind() + " (priority " + first.priority() + ")";
                lines.add("capacity of " + service + ": " + displaced + " calls displaced in about 10 s, "
                        + first.slotsHeldFree() + " slots held free" + heldFor);
            }
        });
        return lines;
    }

    /** Logs which kinds fell below their guaranteed share or recovered, and which service displaced most calls. */
    synchronized void review() {
        long now = nanoClock.getAsLong();
        Map<String, List<KindReport>> reports = reports();
        monitors.keySet().retainAll(registry.names());
        loggedDisplaced.keySet().retainAll(registry.names());
        Map<String, List<KindShareMonitor.Change>> changes = new TreeMap<>();
        registry.names()
                .forEach(service -> changes.put(
                        service,
                        monitors.computeIfAbsent(service, name -> new KindShareMonitor())
                                .update(reports.getOrDefault(service, List.of()), now)));
        int kindsBelow = monitors.values().stream()
                .mapToInt(KindShareMonitor::kindsBelow)
                .sum();
        changes.forEach((service, changed) -> changed.forEach(change -> log(service, change, kindsBelow, now)));
        logDisplaced(reports, now);
    }

    private void log(String service, KindShareMonitor.Change change, int kindsBelow, long now) {
        if (change.below() && belowLimit.tryAcquire(now)) {
            LogEvent.KIND_BELOW_SHARE.warn(change.kind(), change.priority(), service, kindsBelow);
        } else if (!change.below() && recoveredLimit.tryAcquire(now)) {
            LogEvent.KIND_RECOVERED.info(change.kind(), change.priority(), service, kindsBelow);
        }
    }

    /** Logs one service at a time. The calls of the others still count, so that each has its turn. */
    private void logDisplaced(Map<String, List<KindReport>> reports, long now) {
        Map<String, Long> unlogged = new HashMap<>();
        reports.forEach((service, kinds) -> {
            long displaced = displaced(kinds);
            // Kinds are evicted with their counts.
            loggedDisplaced.putIfAbsent(service, 0L);
            loggedDisplaced.merge(service, displaced, Math::min);
            unlogged.put(service, displaced - loggedDisplaced.get(service));
        });
        unlogged.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .filter(most -> most.getValue() > 0 && displacedLimit.tryAcquire(now))
                .ifPresent(most -> {
                    List<KindReport> kinds = reports.get(most.getKey());
                    KindReport first = kinds.stream()
                            .max(Comparator.comparingInt(KindReport::displacedRecently))
                            .orElseThrow();
                    loggedDisplaced.put(most.getKey(), displaced(kinds));
                    LogEvent.CALLS_DISPLACED.info(most.getValue(), most.getKey(), first.kind());
                });
    }

    private static long displaced(List<KindReport> kinds) {
        return kinds.stream().mapToLong(KindReport::displaced).sum();
    }

    /** Returns the reports of the services that have any, by their names. */
    private Map<String, List<KindReport>> reports() {
        long now = nanoClock.getAsLong();
        Map<String, List<KindReport>> reports = new TreeMap<>();
        for (RegisteredService service : registry.services()) {
            List<KindReport> kinds = service.dispatcher().kindReports(now);
            if (!kinds.isEmpty()) {
                reports.put(service.service().name(), kinds);
            }
        }
        return reports;
    }
}
