package org.sardinepost.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The waiting calls of one service, bounded in bytes.
 *
 * <p>Deeper calls leave first: refusing or delaying them would waste the work of all levels above them. Calls of the same
 * depth leave in the order of arrival. Not thread-safe.
 */
public final class DepthCallQueue {
    private static final int MAX_DEPTH = 10;
    /** Memory held for a waiting call without a body: request, headers and future. */
    private static final long CALL_BYTES = 4096;

    private final long maxBytes;
    private final List<Deque<QueuedCall>> byDepth = new ArrayList<>();
    private final int[] counts = new int[MAX_DEPTH + 1];
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

    /** The number of waiting calls that leave before a new call of this depth. */
    public int ahead(int depth) {
        int sum = 0;
        for (int level = level(depth); level <= MAX_DEPTH; level++) {
            sum += counts[level];
        }
        return sum;
    }

    /** Adds a call; false if the byte bound does not allow it. */
    public boolean offer(QueuedCall call) {
        long added = bytesOf(call);
        if (bytes + added > maxBytes) {
            return false;
        }
        int level = level(call.request().depth());
        byDepth.get(level).addLast(call);
        counts[level]++;
        size++;
        bytes += added;
        call.setQueued(true);
        return true;
    }

    /** The call that leaves next, or null. */
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

    /** Removes a call; false if it does not wait here any more. */
    public boolean remove(QueuedCall call) {
        if (!call.queued()) {
            return false;
        }
        call.setQueued(false);
        counts[level(call.request().depth())]--;
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
