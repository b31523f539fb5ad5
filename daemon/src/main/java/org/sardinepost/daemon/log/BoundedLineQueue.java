package org.sardinepost.daemon.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * A bounded queue of log lines, which keeps a stalled reader of the log from blocking the threads that log.
 *
 * <p>A line is dropped and counted if the queue is full. Thread-safe.
 */
final class BoundedLineQueue {
    private final int capacity;
    private final Queue<String> lines = new ArrayDeque<>();
    private long dropped;
    private boolean closed;

    BoundedLineQueue(int capacity) {
        this.capacity = capacity;
    }

    synchronized void add(String line) {
        if (closed || lines.size() >= capacity) {
            dropped++;
            return;
        }
        lines.add(line);
        notifyAll();
    }

    /** Waits for a line and removes all queued lines. Returns an empty list once the queue is closed and empty. */
    synchronized List<String> takeAll() throws InterruptedException {
        while (lines.isEmpty() && !closed) {
            wait();
        }
        List<String> result = new ArrayList<>(lines);
        lines.clear();
        return result;
    }

    /** Returns the number of lines dropped since the last call of this method. */
    synchronized long takeDroppedCount() {
        long count = dropped;
        dropped = 0;
        return count;
    }

    synchronized void close() {
        closed = true;
        notifyAll();
    }
}
