package org.sardinepost.core.text;

import java.util.Objects;

/**
 * The share of a route's calls that goes to one service.
 *
 * @param service the name of the service
 * @param weight the share, relative to the sum of the weights of the route
 */
public record RouteShare(String service, int weight) {
    public RouteShare {
        Objects.requireNonNull(service);
        if (weight < 0) {
            throw new IllegalArgumentException("weight " + weight + " must not be negative");
        }
    }
}
