package org.sardinepost.standins.upstream;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntSupplier;

/** Runs tasks on a fixed number of slots and queues further tasks in order of arrival. */
public final class SlotQueue {
    private final int slots;
    private final IntSupplier queueLimit;
    private final Queue<Runnable> queue = new ArrayDeque<>();
    private int runningTasks;

    public SlotQueue(int slots, IntSupplier queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /** Runs or queues the task. Returns false if the queue is full and the task was refused. */
    public boolean submit(Runnable task) {
        synchronized (this) {
            if (runningTasks >= slots) {
                return queue.size() < queueLimit.getAsInt() && queue.add(task);
            }
            runningTasks++;
        }
        task.run();
        return true;
    }

    /** Releases a slot and runs the next queued task on it. */
    public void release() {
        Runnable next;
        synchronized (this) {
            next = queue.poll();
            if (next == null) {
                runningTasks--;
                return;
            }
        }
        next.run();
    }

    public synchronized int inFlight() {
        return runningTasks + queue.size();
    }

    public int slots() {
        return slots;
    }
}
