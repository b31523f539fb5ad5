package org.sardinepost.core.routing;

import org.sardinepost.core.admission.LastSlotPolicy;

/**
 * The inputs to the selection of an upstream besides the upstreams themselves.
 *
 * @param averages averages over the upstreams of the service
 * @param typicalNanos the typical service time of the call; 0 while it is unknown
 * @param lastSlotPolicy whether calls may use the last slot of an upstream
 * @param probingEnabled whether upstreams are probed for their slowdown
 * @param slowdownPersists whether the hosts of all upstreams are slowed down, so that waiting for one to recover is of no
 *     use
 * @param cold the upstreams that have just started
 * @param refusing the upstreams that refuse calls although they have capacity
 * @param overflow whether to consider the upstreams that are closed for their refusals, and only these
 * @param connections the preference of the call for upstreams to which its daemon is connected
 * @param nowNanos the time of the selection, on the monotonic clock
 */
record SelectionContext(
        ServiceAverages averages,
        long typicalNanos,
        LastSlotPolicy lastSlotPolicy,
        boolean probingEnabled,
        boolean slowdownPersists,
        ColdUpstreams cold,
        RefusingUpstreams refusing,
        boolean overflow,
        ConnectionPreference connections,
        long nowNanos) {
    SelectionContext forOverflow() {
        return new SelectionContext(
                averages,
                typicalNanos,
                lastSlotPolicy,
                probingEnabled,
                slowdownPersists,
                cold,
                refusing,
                true,
                connections,
                nowNanos);
    }
}
