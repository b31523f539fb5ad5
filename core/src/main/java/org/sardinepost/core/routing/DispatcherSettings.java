package org.sardinepost.core.routing;

import java.util.Objects;

/**
 * What a dispatcher knows of its service and its daemon.
 *
 * @param slots calls that one upstream works on at the same time, until the upstream reports another number
 * @param failureDomain failure domain of this daemon
 * @param waitingBytes bound on the memory held for waiting calls
 */
public record DispatcherSettings(int slots, String failureDomain, long waitingBytes) {
    private static final long DEFAULT_WAITING_BYTES = 16L << 20;

    public DispatcherSettings {
        Objects.requireNonNull(failureDomain);
        if (slots < 1) {
            throw new IllegalArgumentException("slots " + slots + " must be at least 1");
        }
    }

    public static DispatcherSettings of(int slots, String failureDomain) {
        return new DispatcherSettings(slots, failureDomain, DEFAULT_WAITING_BYTES);
    }
}
