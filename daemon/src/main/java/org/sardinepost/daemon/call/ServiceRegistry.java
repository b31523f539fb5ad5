package org.sardinepost.daemon.call;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.sardinepost.core.membership.ColdTimes;
import org.sardinepost.core.membership.Evacuation;
import org.sardinepost.core.retry.RetryBudget;
import org.sardinepost.core.routing.ColdRate;
import org.sardinepost.core.routing.ColdTolerance;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.RouteTable;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;

/**
 * The configured services. Request threads read an immutable snapshot, which the control thread replaces.
 *
 * <p>A service that keeps its name also keeps its dispatcher, which holds the counts of calls in progress.
 */
public final class ServiceRegistry {
    private final Function<Service, Dispatcher> dispatcherFactory;
    private final ColdTolerance coldTolerance;
    private final LongSupplier nanoClock;
    private final EvacuationGuard evacuationGuard = new EvacuationGuard();
    private volatile Snapshot snapshot = new Snapshot(0, Map.of(), Map.of(), new RouteTable(List.of()));

    public ServiceRegistry(Function<Service, Dispatcher> dispatcherFactory, LongSupplier nanoClock) {
        this(dispatcherFactory, ColdTolerance.NONE, nanoClock);
    }

    /**
     * Creates a registry without services.
     *
     * @param coldTolerance how far the calls to a cold upstream may exceed its warm-up rate
     */
    public ServiceRegistry(
            Function<Service, Dispatcher> dispatcherFactory, ColdTolerance coldTolerance, LongSupplier nanoClock) {
        this.dispatcherFactory = dispatcherFactory;
        this.coldTolerance = coldTolerance;
        this.nanoClock = nanoClock;
    }

    /** Applies a services text, with further upstreams by service name in addition to those that the text lists. */
    public void apply(ServicesText text, Map<String, List<Upstream>> additionalUpstreams) {
        apply(text, additionalUpstreams, Set.of(), Evacuation.none(), Map.of());
    }

    /**
     * Applies a services text, without the upstreams that are leaving or in an evacuated failure domain.
     *
     * @param coldSinceNanos since when upstreams have been cold; it applies to services that have a warm-up time
     */
    public synchronized void apply(
            ServicesText text,
            Map<String, List<Upstream>> additionalUpstreams,
            Set<UpstreamId> leaving,
            Evacuation evacuation,
            Map<UpstreamId, Long> coldSinceNanos) {
        Set<UpstreamId> withheld = new HashSet<>(leaving);
        withheld.addAll(evacuation.upstreams());
        Map<String, List<Upstream>> usable = new HashMap<>();
        text.services()
                .forEach(service -> usable.put(
                        service.name(),
                        usableUpstreams(
                                service, additionalUpstreams.getOrDefault(service.name(), List.of()), withheld)));
        Set<String> unserved = usable.keySet().stream()
                .filter(service -> usable.get(service).isEmpty() && evacuation.affects(service))
                .collect(Collectors.toUnmodifiableSet());
        evacuationGuard.applyCommonPart(evacuation, unserved);
        registerServices(text, usable, coldSinceNanos);
        evacuationGuard.apply(evacuation, unserved);
    }

    private void registerServices(
            ServicesText text, Map<String, List<Upstream>> upstreams, Map<UpstreamId, Long> coldSinceNanos) {
        Map<String, RegisteredService> byName = new HashMap<>();
        Map<String, RegisteredService> byHost = new HashMap<>();
        for (Service service : text.services()) {
            RegisteredService registered = register(service, upstreams.get(service.name()), coldSinceNanos);
            byName.put(service.name(), registered);
            service.hosts().forEach(host -> byHost.put(HostName.normalized(host), registered));
        }
        byName.forEach((name, registered) -> byHost.put(HostName.normalized(name), registered));
        byHost.values().removeIf(registered -> !registered.service().directCalls());
        snapshot = new Snapshot(text.version(), Map.copyOf(byName), Map.copyOf(byHost), text.routeTable());
    }

    private RegisteredService register(
            Service service, List<Upstream> upstreams, Map<UpstreamId, Long> coldSinceNanos) {
        Optional<RegisteredService> previous = findService(service.name());
        Dispatcher dispatcher =
                previous.map(RegisteredService::dispatcher).orElseGet(() -> dispatcherFactory.apply(service));
        RetryBudget retryBudget = previous.filter(
                        previousService -> sameRetryBudgetShare(previousService.service(), service))
                .map(RegisteredService::retryBudget)
                .orElseGet(() -> new RetryBudget(service.retryBudgetShare()));
        long now = nanoClock.getAsLong();
        dispatcher.setDefaultSlots(service.slots(), now);
        dispatcher.setMeasuringBudget(service.measuringBudgetPerSecond());
        dispatcher.setColdRate(coldRate(service));
        // Before the upstreams, so that a cold one that is added gets no calls as a warm one.
        dispatcher.setCold(coldUntilNanos(service, upstreams, coldSinceNanos, now), now);
        dispatcher.setUpstreams(upstreams, now);
        return new RegisteredService(service, dispatcher, retryBudget);
    }

    private static List<Upstream> usableUpstreams(
            Service service, List<Upstream> additional, Set<UpstreamId> withheld) {
        List<Upstream> upstreams = new ArrayList<>(service.upstreams());
        additional.stream()
                .filter(candidate ->
                        upstreams.stream().noneMatch(present -> present.id().equals(candidate.id())))
                .forEach(upstreams::add);
        upstreams.removeIf(upstream -> withheld.contains(upstream.id()));
        return upstreams;
    }

    /** Returns the rate at which cold upstreams of a service accept calls; empty if they are never cold. */
    public Optional<ColdRate> coldRate(Service service) {
        return service.warmUp().map(warmUp -> new ColdRate(warmUp.callsPerSecond(), coldTolerance));
    }

    private static Map<UpstreamId, Long> coldUntilNanos(
            Service service, List<Upstream> upstreams, Map<UpstreamId, Long> coldSinceNanos, long nowNanos) {
        return service.warmUp()
                .map(warmUp -> ColdTimes.untilNanos(
                        coldSinceNanos, upstreams.stream().map(Upstream::id).toList(), warmUp.duration(), nowNanos))
                .orElse(Map.of());
    }

    private static boolean sameRetryBudgetShare(Service first, Service second) {
        return Double.compare(first.retryBudgetShare(), second.retryBudgetShare()) == 0;
    }

    /** Returns the guard that keeps requests away from evacuated failure domains. */
    public EvacuationGuard evacuationGuard() {
        return evacuationGuard;
    }

    public Optional<RegisteredService> findService(String name) {
        return Optional.ofNullable(snapshot.byName().get(name));
    }

    /**
     * Finds the destination of a call: a service of the matching route or, if no route has the host, the service that the
     * host selects if it permits direct calls.
     *
     * @param hostHeader the Host header; its port is ignored
     * @param path the path as the caller sent it
     * @param randomFraction a random number from 0 to 1 that selects one of the services of the route
     */
    public Optional<CallDestination> resolve(String hostHeader, String path, double randomFraction) {
        Snapshot current = snapshot;
        String host = HostName.normalized(HostName.withoutPort(hostHeader));
        if (!current.routes().hasHost(host)) {
            return Optional.ofNullable(current.byHost().get(host)).map(CallDestination::ofService);
        }
        return current.routes().find(host, path).flatMap(route -> Optional.ofNullable(
                        current.byName().get(route.service(randomFraction)))
                .map(service -> CallDestination.ofRoute(service, route)));
    }

    /** Returns the version of the services text by which calls are routed; 0 if there is none. */
    public long textVersion() {
        return snapshot.textVersion();
    }

    /** Returns the configured services, for example to expire waiting calls on each control tick. */
    public Collection<RegisteredService> services() {
        return snapshot.byName().values();
    }

    /** Returns the names of the services in alphabetical order. */
    public List<String> names() {
        return snapshot.byName().keySet().stream().sorted().toList();
    }

    /** Returns whether a services text with at least one service is active. */
    public boolean hasText() {
        return !snapshot.byName().isEmpty();
    }

    private record Snapshot(
            long textVersion,
            Map<String, RegisteredService> byName,
            Map<String, RegisteredService> byHost,
            RouteTable routes) {}
}
