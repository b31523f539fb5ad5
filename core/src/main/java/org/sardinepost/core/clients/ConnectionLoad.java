package org.sardinepost.core.clients;

import java.util.OptionalLong;

/**
 * What one connection of a client holds at a moment.
 *
 * @param connection identifies the connection
 * @param bodyBytes the bodies of its requests and responses
 * @param callBytes the other memory of its calls
 * @param calls the number of its requests that have not been answered completely
 * @param waitingSinceNanos since when the daemon has waited for the client to read or to complete a head, without progress
 * @param lastUsedNanos when the connection was opened or its last call ended
 */
public record ConnectionLoad<C>(
        C connection, long bodyBytes, long callBytes, int calls, OptionalLong waitingSinceNanos, long lastUsedNanos) {

    boolean waitedFor(long nanos, long nowNanos) {
        return waitingSinceNanos.isPresent() && nowNanos - waitingSinceNanos.getAsLong() >= nanos;
    }

    long heldBytes() {
        return bodyBytes + callBytes;
    }

    boolean idle() {
        return calls == 0 && waitingSinceNanos.isEmpty();
    }
}
