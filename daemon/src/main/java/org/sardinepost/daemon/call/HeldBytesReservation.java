package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;

/**
 * The reserved bytes of one call, for its request and its response.
 *
 * <p>The reservation is reference-counted: the call of the caller and each running dispatch hold one reference, since a
 * dispatch may outlive its caller. The bytes are released with the last reference.
 */
final class HeldBytesReservation {
    private final HeldBytes heldBytes;
    private long reservedBytes;
    private long smallResponseBytes;
    private int references = 1;

    HeldBytesReservation(HeldBytes heldBytes) {
        this.heldBytes = heldBytes;
    }

    synchronized boolean tryReserveForRequest(long addedBytes) {
        boolean granted = references > 0 && heldBytes.tryReserveForRequest(addedBytes);
        if (granted) {
            reservedBytes += addedBytes;
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
        heldBytes.releaseSmallResponse(released);
    }

    private synchronized boolean released() {
        return references == 0;
    }

    private boolean add(long addedBytes) {
        synchronized (this) {
            if (references > 0) {
                reservedBytes += addedBytes;
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
        heldBytes.release(discardedBytes);
    }

    synchronized void retain() {
        references++;
    }

    void release() {
        long released;
        synchronized (this) {
            references--;
            if (references > 0) {
                return;
            }
            released = reservedBytes;
            reservedBytes = 0;
        }
        releaseSmallResponse();
        // Outside the lock, since this may complete the reservations of other calls.
        heldBytes.release(released);
    }
}
