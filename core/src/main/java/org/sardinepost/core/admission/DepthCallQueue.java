package org.sardinepost.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.sardinepost.core.routing.DispatchRequest;

/**
 * The queued calls of one service, limited in bytes.
 *
 * <p>Calls at a greater nesting depth are dispatched first: refusing or delaying them would waste the work of all
 * levels above them. Requests that clients send ahead on their connections are dispatched last, and take no more than a part of
 * the queue, so that clients which never read do not take the place of callers that wait for one response at a time. Calls of
 * the same level are dispatched in order of arrival. Not thread-safe.
 */
public final class DepthCallQueue {
    private static final int MAX_DEPTH = 10;

    private static final int SENT_AHEAD_LEVEL = 0;
    private static final int MAX_LEVEL = SENT_AHEAD_LEVEL + 1 + MAX_DEPTH;
    /** The part of the bytes that requests sent ahead may use. */
    private static final double SENT_AHEAD_SHARE = 0.5;

    /** Memory held for a queued call without a body: request, headers and future. */
    private static final long CALL_BYTES = 4096;

    private final long maxBytes;
    private final List<Deque<QueuedCall>> byLevel = new ArrayList<>();
    private final int[] countByLevel = new int[MAX_LEVEL + 1];
    private int size;
    private long bytes;

    public DepthCallQueue(long maxBytes) {
        this.maxBytes = maxBytes;
        for (int level = 0; level <= MAX_LEVEL; level++) {
            byLevel.add(new ArrayDeque<>());
        }
    }

    public int size() {
        return size;
    }

    public long bytes() {
        return bytes;
    }

    /** Returns the number of queued calls that are dispatched before a new one. */
    public int callsAhead(DispatchRequest request) {
        int sum = 0;
        for (int level = level(request); level <= MAX_LEVEL; level++) {
            sum += countByLevel[level];
        }
        return sum;
    }

    /** Adds a call; returns false if this would exceed the limit in bytes. */
    public boolean tryAdd(QueuedCall call) {
        long callBytes = bytesOf(call);
        if (bytes + callBytes > (call.request().sentAhead() ? SENT_AHEAD_SHARE * maxBytes : maxBytes)) {
            return false;
        }
        int level = level(call.request());
        byLevel.get(level).addLast(call);
        countByLevel[level]++;
        size++;
        bytes += callBytes;
        call.setQueued(true);
        return true;
    }

    /** Returns the call to dispatch next, or null. */
    public QueuedCall peek() {
        for (int level = MAX_LEVEL; level >= 0; level--) {
            Deque<QueuedCall> calls = byLevel.get(level);
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
        countByLevel[level(call.request())]--;
        size--;
        bytes -= bytesOf(call);
        return true;
    }

    /** Removes and returns the calls whose deadline has passed. */
    public List<QueuedCall> removeExpired(long nowNanos) {
        List<QueuedCall> expired = new ArrayList<>();
        for (Deque<QueuedCall> calls : byLevel) {
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

    private static int level(DispatchRequest request) {
        return request.sentAhead()
                ? SENT_AHEAD_LEVEL
                : SENT_AHEAD_LEVEL + 1 + Math.max(0, Math.min(request.depth(), MAX_DEPTH));
    }

    private static long bytesOf(QueuedCall call) {
        return CALL_BYTES + call.request().bodyBytes();
    }
}
