package org.sardinepost.daemon.call;

/**
 * The reserved bytes of one call, for its request and its response.
 *
 * <p>The reservation is reference-counted: the call of the caller and each running dispatch hold one reference, since a
 * dispatch may outlive its caller. The bytes are released with the last reference.
 */
final class HeldBytesReservation {
    private final HeldBytes heldBytes;
    private long reservedBytes;
    private int references = 1;

    HeldBytesReservation(HeldBytes heldBytes) {
        this.heldBytes = heldBytes;
    }

    synchronized boolean tryReserveForRequest(long addedBytes) {
        return addIfGranted(addedBytes, references > 0 && heldBytes.tryReserveForRequest(addedBytes));
    }

    synchronized boolean tryReserveForResponse(long addedBytes) {
        return addIfGranted(addedBytes, references > 0 && heldBytes.tryReserveForResponse(addedBytes));
    }

    private boolean addIfGranted(long addedBytes, boolean granted) {
        if (granted) {
            reservedBytes += addedBytes;
        }
        return granted;
    }

    /** Releases the bytes of a response that is discarded. */
    synchronized void releasePart(long discardedBytes) {
        if (references > 0) {
            reservedBytes -= discardedBytes;
            heldBytes.release(discardedBytes);
        }
    }

    synchronized void retain() {
        references++;
    }

    synchronized void release() {
        references--;
        if (references == 0) {
            heldBytes.release(reservedBytes);
            reservedBytes = 0;
        }
    }
}
