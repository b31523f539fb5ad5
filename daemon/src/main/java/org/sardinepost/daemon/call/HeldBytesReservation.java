package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;

/**
 * The reserved bytes of one call, for its request and its response.
 *
 * <p>The reservation is reference-counted: the call of the caller and each running dispatch hold one reference, since a
 * dispatch may outlive its caller. The bytes are released with the last reference.
 */
final class HeldBytesReservation {
    /**
     * An estimate of the objects of a call besides head and bodies: request and response, exchange with the upstream, timers and
     * futures.
     */
    private static final int OBJECT_BYTES = 8 << 10;

    private final HeldBytes heldBytes;
    private final ConnectionAccount account;
    private long reservedBytes;
    private long smallResponseBytes;
    private long callBytes;
    private int references = 1;

    HeldBytesReservation(HeldBytes heldBytes, ConnectionAccount account) {
        this.heldBytes = heldBytes;
        this.account = account;
        addForCall(OBJECT_BYTES);
    }

    /** Adds memory of the call other than its bodies, which is released with the reservation. */
    void addForCall(long bytes) {
        synchronized (this) {
            callBytes += bytes;
        }
        account.addForCalls(bytes);
    }

    synchronized boolean tryReserveForRequest(long addedBytes) {
        boolean granted = references > 0 && heldBytes.tryReserveForRequest(addedBytes);
        if (granted) {
            reservedBytes += addedBytes;
            account.addBody(addedBytes);
        }
        return granted;
    }

    /**
     * Reserves bytes for a response, which may have to wait for other calls to release theirs.
     *
     * @return the future of the reservation; false if the bytes exceed the limit or the call has ended
     */
    CompletableFuture<Boolean> reserveForResponse(long addedBytes) {
        return heldBytes
                .reserveForResponse(addedBytes, this::released)
                .thenApply(granted -> granted && add(addedBytes));
    }

    /** Returns the most that a response of unknown length may need. */
    long growingResponseLimitBytes() {
        return heldBytes.growingResponseLimitBytes();
    }

    /** Reserves bytes for a small response, without waiting; returns false if there are not enough. */
    boolean tryReserveForSmallResponse(long addedBytes) {
        if (!heldBytes.tryReserveForSmallResponse(addedBytes)) {
            return false;
        }
        synchronized (this) {
            if (references > 0) {
                smallResponseBytes += addedBytes;
                account.addBody(addedBytes);
                return true;
            }
        }
        heldBytes.releaseSmallResponse(addedBytes);
        return false;
    }

    /** Releases the bytes that were reserved for a small response. */
    void releaseSmallResponse() {
        long released;
        synchronized (this) {
            released = smallResponseBytes;
            smallResponseBytes = 0;
        }
        account.addBody(-released);
        heldBytes.releaseSmallResponse(released);
    }

    private synchronized boolean released() {
        return references == 0;
    }

    private boolean add(long addedBytes) {
        synchronized (this) {
            if (references > 0) {
                reservedBytes += addedBytes;
                account.addBody(addedBytes);
                return true;
            }
        }
        heldBytes.release(addedBytes);
        return false;
    }

    /** Releases the bytes of a response that is discarded. */
    void releasePart(long discardedBytes) {
        synchronized (this) {
            if (references == 0) {
                return;
            }
            reservedBytes -= discardedBytes;
        }
        account.addBody(-discardedBytes);
        heldBytes.release(discardedBytes);
    }

    synchronized void retain() {
        references++;
    }

    void release() {
        long released;
        long releasedCallBytes;
        synchronized (this) {
            references--;
            if (references > 0) {
                return;
            }
            released = reservedBytes;
            reservedBytes = 0;
            releasedCallBytes = callBytes;
            callBytes = 0;
        }
        account.addBody(-released);
        account.addForCalls(-releasedCallBytes);
        releaseSmallResponse();
        // Outside the lock, since this may complete the reservations of other calls.
        heldBytes.release(released);
    }
}
