package org.sardinepost.core.token;

/** A request in transit to the daemon in {@code slot}; {@code from} is the forwarding slot, or -1 for a caller. */
record FuzzSend(FuzzRequest callerRequest, IdempotencyToken token, RequestFingerprint request, int from, int slot) {
    boolean forwarded() {
        return from >= 0;
    }
}
