package org.sardinepost.core.routing;

/**
 * Requests the load of an upstream without blocking. The response, if any, is passed to the dispatcher that sent the
 * probe.
 */
@FunctionalInterface
public interface LoadProbe {
    void send(Upstream upstream);
}
