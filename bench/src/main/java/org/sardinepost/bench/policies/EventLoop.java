package org.sardinepost.bench.policies;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Executes scheduled actions on a virtual clock. Actions scheduled for the same time run in insertion order. */
final class EventLoop {
    private record Event(long timeNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long sequence;

    long now() {
        return nowNanos;
    }

    void scheduleAt(long timeNanos, Runnable action) {
        events.add(new Event(timeNanos, sequence++, action));
    }

    void scheduleAfter(long delayNanos, Runnable action) {
        scheduleAt(nowNanos + delayNanos, action);
    }

    void schedulePeriodically(long periodNanos, long endNanos, Runnable action) {
        scheduleAfter(periodNanos, () -> {
            action.run();
            if (nowNanos < endNanos) {
                schedulePeriodically(periodNanos, endNanos, action);
            }
        });
    }

    void run() {
        while (!events.isEmpty()) {
            Event event = events.remove();
            nowNanos = event.timeNanos();
            event.action().run();
        }
    }
}
