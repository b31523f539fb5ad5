package org.sardinepost.standins.upstream;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntSupplier;

/** Runs requests on a fixed number of slots; the others wait in order of arrival. */
public final class SlotQueue {
    private final int slots;
    private final IntSupplier queueLimit;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private int running;

    public SlotQueue(int slots, IntSupplier queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /** Starts the work at once or queues it; false if the queue is full and the work was refused. */
    public boolean submit(Runnable work) {
        synchronized (this) {
            if (running >= slots) {
                return waiting.size() < queueLimit.getAsInt() && waiting.add(work);
            }
            running++;
        }
        work.run();
        return true;
    }

    /** Frees a slot and starts the next request on it. */
    public void release() {
        Runnable next;
        synchronized (this) {
            next = waiting.poll();
            if (next == null) {
                running--;
                return;
            }
        }
        next.run();
    }

    public synchronized int inFlight() {
        return running + waiting.size();
    }

    public int slots() {
        return slots;
    }
}
