package org.sardinepost.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The queued calls of one service, limited in bytes.
 *
 * <p>Calls at a greater nesting depth are dispatched first: refusing or delaying them would waste the work of all
 * levels above them. Calls of the same depth are dispatched in order of arrival. Not thread-safe.
 */
public final class DepthCallQueue {
    private static final int MAX_DEPTH = 10;
    /** Memory held for a queued call without a body: request, headers and future. */
    private static final long CALL_BYTES = 4096;

    private final long maxBytes;
    private final List<Deque<QueuedCall>> byDepth = new ArrayList<>();
    private final int[] countByDepth = new int[MAX_DEPTH + 1];
    private int size;
    private long bytes;

    public DepthCallQueue(long maxBytes) {
        this.maxBytes = maxBytes;
        for (int depth = 0; depth <= MAX_DEPTH; depth++) {
            byDepth.add(new ArrayDeque<>());
        }
    }

    public int size() {
        return size;
    }

    public long bytes() {
        return bytes;
    }

    /** Returns the number of queued calls that are dispatched before a new call of this depth. */
    public int callsAhead(int depth) {
        int sum = 0;
        for (int level = level(depth); level <= MAX_DEPTH; level++) {
            sum += countByDepth[level];
        }
        return sum;
    }

    /** Adds a call; returns false if this would exceed the limit in bytes. */
    public boolean tryAdd(QueuedCall call) {
        long callBytes = bytesOf(call);
        if (bytes + callBytes > maxBytes) {
            return false;
        }
        int level = level(call.request().depth());
        byDepth.get(level).addLast(call);
        countByDepth[level]++;
        size++;
        bytes += callBytes;
        call.setQueued(true);
        return true;
    }

    /** Returns the call to dispatch next, or null. */
    public QueuedCall peek() {
        for (int level = MAX_DEPTH; level >= 0; level--) {
            Deque<QueuedCall> calls = byDepth.get(level);
            while (!calls.isEmpty()) {
                if (calls.peekFirst().queued()) {
                    return calls.peekFirst();
                }
                calls.removeFirst();
            }
        }
        return null;
    }

    /** Removes a call; returns false if it is no longer queued. */
    public boolean remove(QueuedCall call) {
        if (!call.queued()) {
            return false;
        }
        call.setQueued(false);
        countByDepth[level(call.request().depth())]--;
        size--;
        bytes -= bytesOf(call);
        return true;
    }

    /** Removes and returns the calls whose deadline has passed. */
    public List<QueuedCall> removeExpired(long nowNanos) {
        List<QueuedCall> expired = new ArrayList<>();
        for (Deque<QueuedCall> calls : byDepth) {
            collectExpired(calls, nowNanos, expired);
        }
        return expired;
    }

    private void collectExpired(Deque<QueuedCall> calls, long nowNanos, List<QueuedCall> expired) {
        Iterator<QueuedCall> iterator = calls.iterator();
        while (iterator.hasNext()) {
            QueuedCall call = iterator.next();
            if (!call.queued()) {
                iterator.remove();
            } else if (call.request().deadlineNanos() - nowNanos <= 0) {
                iterator.remove();
                remove(call);
                expired.add(call);
            }
        }
    }

    private static int level(int depth) {
        return Math.max(0, Math.min(depth, MAX_DEPTH));
    }

    private static long bytesOf(QueuedCall call) {
        return CALL_BYTES + call.request().bodyBytes();
    }
}
