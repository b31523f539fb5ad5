package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;

/**
 * The bytes that are reserved for the body of one response.
 *
 * <p>A body of unknown length that is no longer small gets all that it can need at once, twice its limit since a buffer that
 * grows exists twice while it is copied. If many bodies grew in steps, each could wait for what the others hold.
 */
final class ResponseBodyReservation {
    private final HeldBytesReservation reservation;
    private final long limitBytes;
    private boolean lengthKnown;
    private boolean reservedSmall;
    private boolean released;
    private long reservedBytes;

    ResponseBodyReservation(HeldBytesReservation reservation, long limitBytes) {
        this.reservation = reservation;
        this.limitBytes = limitBytes;
    }

    /** Returns the size that a body of unknown length can reach. */
    long maxGrowingBytes() {
        return Math.min(limitBytes, reservation.growingResponseLimitBytes() / 2);
    }

    /** Reserves the whole body of a response that states its length. */
    CompletableFuture<Boolean> reserveWhole(long bodyBytes) {
        lengthKnown = true;
        return reserveFor(bodyBytes);
    }

    /**
     * Reserves the bytes that a body needs to reach this size.
     *
     * @return a future that completes when other calls have released enough; false if the limit of held bytes is lower
     */
    CompletableFuture<Boolean> reserveFor(long bodyBytes) {
        if (bodyBytes <= HeldBytes.SMALL_RESPONSE_BYTES && reserveSmall()) {
            return CompletableFuture.completedFuture(true);
        }
        if (!lengthKnown && bodyBytes > maxGrowingBytes()) {
            return CompletableFuture.completedFuture(false);
        }
        long neededBytes = lengthKnown ? bodyBytes : 2 * maxGrowingBytes();
        long additionalBytes = neededBytes - reservedBytes;
        if (additionalBytes <= 0) {
            return CompletableFuture.completedFuture(true);
        }
        return reservation.reserveForResponse(additionalBytes).thenApply(granted -> granted && keep(additionalBytes));
    }

    /** Releases the bytes of a response that is discarded, and those that are granted later. */
    void release() {
        long releasedBytes;
        synchronized (this) {
            released = true;
            releasedBytes = reservedBytes;
            reservedBytes = 0;
        }
        releaseSmall();
        reservation.releasePart(releasedBytes);
    }

    private boolean keep(long bytes) {
        releaseSmall();
        synchronized (this) {
            if (!released) {
                reservedBytes += bytes;
                return true;
            }
        }
        reservation.releasePart(bytes);
        return false;
    }

    private boolean reserveSmall() {
        if (reservedBytes > 0) {
            return true;
        }
        reservedSmall = reservedSmall || reservation.tryReserveForSmallResponse(HeldBytes.SMALL_RESPONSE_BYTES);
        return reservedSmall;
    }

    private void releaseSmall() {
        if (reservedSmall) {
            reservedSmall = false;
            reservation.releaseSmallResponse();
        }
    }
}
