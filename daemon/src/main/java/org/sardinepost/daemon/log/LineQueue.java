package org.sardinepost.daemon.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Lines that wait to be written, bounded so that a reader of the log that stops reading holds up nothing else.
 *
 * <p>A line that finds the queue full is left out and counted. Thread-safe.
 */
final class LineQueue {
    private final int capacity;
    private final Queue<String> lines = new ArrayDeque<>();
    private long leftOut;
    private boolean closed;

    LineQueue(int capacity) {
        this.capacity = capacity;
    }

    synchronized void add(String line) {
        if (closed || lines.size() >= capacity) {
            leftOut++;
            return;
        }
        lines.add(line);
        notifyAll();
    }

    /** Takes all waiting lines; waits for a first one. Empty once the queue is closed and all lines are taken. */
    synchronized List<String> take() throws InterruptedException {
        while (lines.isEmpty() && !closed) {
            wait();
        }
        List<String> taken = new ArrayList<>(lines);
        lines.clear();
        return taken;
    }

    /** The lines that were left out since the last call of this method. */
    synchronized long takeLeftOut() {
        long count = leftOut;
        leftOut = 0;
        return count;
    }

    synchronized void close() {
        closed = true;
        notifyAll();
    }
}
