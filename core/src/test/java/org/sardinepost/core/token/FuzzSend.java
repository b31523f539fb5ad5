package org.sardinepost.core.token;

/** A request on its way to the daemon in a slot; {@code from} is the forwarding slot or -1 for a caller. */
record FuzzSend(FuzzOrder order, IdempotencyToken token, RequestFingerprint request, int from, int slot) {
    boolean forwarded() {
        return from >= 0;
    }
}
