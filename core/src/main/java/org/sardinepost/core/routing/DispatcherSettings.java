package org.sardinepost.core.routing;

import java.util.Objects;

/**
 * Settings of a dispatcher.
 *
 * @param slots number of calls that one upstream processes concurrently, until the upstream reports a different
 *     number
 * @param failureDomain failure domain of this daemon
 * @param maxQueuedBytes limit on the memory held for queued calls
 */
public record DispatcherSettings(int slots, String failureDomain, long maxQueuedBytes) {
    private static final long DEFAULT_MAX_QUEUED_BYTES = 16L << 20;

    public DispatcherSettings {
        Objects.requireNonNull(failureDomain);
        if (slots < 1) {
            throw new IllegalArgumentException("slots " + slots + " must be at least 1");
        }
    }

    public static DispatcherSettings of(int slots, String failureDomain) {
        return new DispatcherSettings(slots, failureDomain, DEFAULT_MAX_QUEUED_BYTES);
    }
}
