package org.sardinepost.bench.policies;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of a virtual clock; events of the same time run in the order in which they were added. */
final class EventLoop {
    private record Event(long timeNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long sequence;

    long now() {
        return nowNanos;
    }

    void at(long timeNanos, Runnable action) {
        events.add(new Event(timeNanos, sequence++, action));
    }

    void after(long delayNanos, Runnable action) {
        at(nowNanos + delayNanos, action);
    }

    void every(long periodNanos, long untilNanos, Runnable action) {
        after(periodNanos, () -> {
            action.run();
            if (nowNanos < untilNanos) {
                every(periodNanos, untilNanos, action);
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
