package org.sardinepost.daemon.call;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.sardinepost.core.clients.AccountState;
import org.sardinepost.core.clients.ClientLoadPolicy;

/**
 * Counts the bytes of all requests and responses that this daemon buffers, and enforces a common limit.
 *
 * <p>A request that does not fit is refused. A large response waits, in the order of arrival, for the bytes of others to
 * be released; meanwhile the upstream is not read from, so it waits as well. A small response never waits behind large
 * ones. Thread-safe.
 */
public final class HeldBytes {
    /** Requests may use three quarters of the limit; the rest is left for the responses to admitted requests. */
    private static final int REQUEST_QUARTERS = 3;

    /** The size up to which a response does not wait. */
    static final long SMALL_RESPONSE_BYTES = 64 << 10;

    /** Small responses have bytes of their own, in addition to the limit: this part of it. */
    private static final int SMALL_RESPONSES_DIVISOR = 8;

    /**
     * The share of the Java heap, without what the program needs, that may be held. The rest is for buffers, and for what
     * was released but not yet collected.
     */
    private static final double MAX_HEAP_SHARE = 0.4;

    /** The heap that a daemon without callers uses: 8 MB were found in a daemon with one service. */
    private static final long PROGRAM_BYTES = 10 << 20;

    /** About the time in which memory is released by calls that end, or by closing connections. */
    static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final long limitBytes;
    private final long requestLimitBytes;
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long usedBytes;
    private long usedBySmallResponses;
    private long usedByCalls;

    public HeldBytes(long limitBytes) {
        this.limitBytes = limitBytes;
        this.requestLimitBytes = limitBytes / 4 * REQUEST_QUARTERS;
    }

    /** Creates a counter whose limit is the setting, or less if the Java heap is too small for it. */
    public static HeldBytes withinHeap(long settingBytes, long maxHeapBytes) {
        return new HeldBytes(Math.min(settingBytes, (long) (MAX_HEAP_SHARE * (maxHeapBytes - PROGRAM_BYTES))));
    }

    /**
     * Opens an empty reservation for one call.
     *
     * @param account the part of its connection
     */
    HeldBytesReservation openReservation(ConnectionAccount account) {
        return new HeldBytesReservation(this, account);
    }

    public long limitBytes() {
        return limitBytes;
    }

    /** Returns what is held at this moment. */
    public synchronized AccountState state() {
        return new AccountState(usedBytes + usedBySmallResponses, usedByCalls);
    }

    /** Adds memory of calls other than bodies, or subtracts it. {@link ClientLoadPolicy} limits it. */
    synchronized void addForCalls(long bytes) {
        usedByCalls += bytes;
    }

    public synchronized long usedBytes() {
        return usedBytes + usedBySmallResponses;
    }

    /** Returns the number of responses that wait for bytes. */
    public synchronized int waitingResponses() {
        return waiters.size();
    }

    /**
     * Returns the most that a response of unknown length may need: the part of the limit that requests leave free, so that
     * requests cannot keep it waiting.
     */
    long growingResponseLimitBytes() {
        return limitBytes - requestLimitBytes;
    }

    synchronized boolean tryReserveForRequest(long bytes) {
        return tryReserve(bytes, requestLimitBytes);
    }

    /**
     * Reserves bytes for a response.
     *
     * @param abandoned returns whether a reservation that waits is no longer wanted
     * @return the future of the reservation; false if the bytes exceed the limit or the reservation was abandoned
     */
    synchronized CompletableFuture<Boolean> reserveForResponse(long bytes, BooleanSupplier abandoned) {
        if (bytes > limitBytes) {
            return CompletableFuture.completedFuture(false);
        }
        if (waiters.isEmpty() && tryReserve(bytes, limitBytes)) {
            return CompletableFuture.completedFuture(true);
        }
        Waiter waiter = new Waiter(bytes, abandoned, new CompletableFuture<>());
        waiters.addLast(waiter);
        return waiter.granted();
    }

    /** Reserves some of the bytes that only small responses may use; returns false if there are not enough. */
    synchronized boolean tryReserveForSmallResponse(long bytes) {
        boolean reserved =
                bytes <= SMALL_RESPONSE_BYTES && usedBySmallResponses + bytes <= limitBytes / SMALL_RESPONSES_DIVISOR;
        if (reserved) {
            usedBySmallResponses += bytes;
        }
        return reserved;
    }

    synchronized void releaseSmallResponse(long bytes) {
        usedBySmallResponses -= bytes;
    }

    private boolean tryReserve(long bytes, long limit) {
        if (usedBytes + bytes > limit) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        List<Waiter> granted = new ArrayList<>();
        List<Waiter> abandoned = new ArrayList<>();
        synchronized (this) {
            usedBytes -= bytes;
            while (!waiters.isEmpty()) {
                if (waiters.peekFirst().abandoned().getAsBoolean()) {
                    abandoned.add(waiters.removeFirst());
                } else if (tryReserve(waiters.peekFirst().bytes(), limitBytes)) {
                    granted.add(waiters.removeFirst());
                } else {
                    break;
                }
            }
        }
        // Outside the lock, since the waiting responses continue on this thread.
        abandoned.forEach(waiter -> waiter.granted().complete(false));
        granted.forEach(waiter -> waiter.granted().complete(true));
    }

    private record Waiter(long bytes, BooleanSupplier abandoned, CompletableFuture<Boolean> granted) {}
}
