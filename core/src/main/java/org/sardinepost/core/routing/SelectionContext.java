package org.sardinepost.core.routing;

import org.sardinepost.core.admission.LastSlotPolicy;

/**
 * What a choice of an upstream is based on besides the upstream itself.
 *
 * @param service averages over the upstreams of the service
 * @param serviceNanos the usual time for a call; 0 while it is unknown
 * @param lastSlot whether calls may start in the last slot of an upstream
 * @param measured whether upstreams are asked for their pace
 * @param nowNanos the time of the choice, on the monotonic clock
 */
record SelectionContext(
        ServiceAverages service, long serviceNanos, LastSlotPolicy lastSlot, boolean measured, long nowNanos) {}
