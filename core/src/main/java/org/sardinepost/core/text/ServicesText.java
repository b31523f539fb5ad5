package org.sardinepost.core.text;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** A validated services text. Services are indexed by name and host, because every call looks up its service. */
public final class ServicesText {
    private final long version;
    private final int daemonCeiling;
    private final List<Service> services;
    private final List<Route> routes;
    private final RouteTable routeTable;
    private final Map<String, Service> servicesByName = new HashMap<>();
    private final Map<String, Service> servicesByHost = new HashMap<>();

    /** Creates a text without routes, where only the host of a call determines its service. */
    public ServicesText(long version, int daemonCeiling, List<Service> services) {
        this(version, daemonCeiling, services, List.of());
    }

    public ServicesText(long version, int daemonCeiling, List<Service> services, List<Route> routes) {
        this.version = version;
        this.daemonCeiling = daemonCeiling;
        this.services = List.copyOf(services);
        this.routes = List.copyOf(routes);
        this.routeTable = new RouteTable(this.routes);
        this.services.forEach(this::addToIndexes);
    }

    /** Returns the version number, which the operator increments with each submission. */
    public long version() {
        return version;
    }

    /** Returns the maximum number of daemons that may run at the same time, including leaving ones. */
    public int daemonCeiling() {
        return daemonCeiling;
    }

    /** Returns the services in text order. */
    public List<Service> services() {
        return services;
    }

    /** Returns the routes in text order. */
    public List<Route> routes() {
        return routes;
    }

    public RouteTable routeTable() {
        return routeTable;
    }

    public Optional<Service> service(String name) {
        return Optional.ofNullable(servicesByName.get(name));
    }

    /** Finds the service for a Host header without its port; the host is not case-sensitive. */
    public Optional<Service> serviceForHost(String host) {
        Service service = servicesByHost.get(host);
        return Optional.ofNullable(service != null ? service : servicesByHost.get(lowerCase(host)));
    }

    private void addToIndexes(Service service) {
        servicesByName.putIfAbsent(service.name(), service);
        servicesByHost.putIfAbsent(lowerCase(service.name()), service);
        service.hosts().forEach(host -> servicesByHost.putIfAbsent(lowerCase(host), service));
    }

    private static String lowerCase(String host) {
        return host.toLowerCase(Locale.ROOT);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServicesText text
                && version == text.version
                && daemonCeiling == text.daemonCeiling
                && services.equals(text.services)
                && routes.equals(text.routes);
    }

    @Override
    public int hashCode() {
        return Objects.hash(version, daemonCeiling, services, routes);
    }
}
