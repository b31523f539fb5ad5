package org.sardinepost.core.text;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a call: of the routes for its host, the one with the longest prefix that matches its path. */
public final class RouteTable {
    private final Map<String, List<Route>> routesByHost = new HashMap<>();

    public RouteTable(List<Route> routes) {
        routes.forEach(route -> routesByHost
                .computeIfAbsent(route.host(), host -> new ArrayList<>())
                .add(route));
        Comparator<Route> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
    }

    /**
     * Finds the route of a call.
     *
     * @param host the host in lower case, without a port
     * @param path the path as received from the caller
     */
    public Optional<Route> find(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns whether any route is for this host; if so, a path that matches no route is unknown. */
    public boolean hasHost(String host) {
        return routesByHost.containsKey(host);
    }
}
