package org.sardinepost.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;

/** Starts calls at a fixed rate, whether or not earlier ones have been answered. */
final class Pacer {
    private static final long WAIT_FOR_LAST_ANSWERS_SECONDS = 60;
    private static final double NANOS_PER_SECOND = 1e9;

    private Pacer() {}

    /** Starts the calls in order and waits for the last answer. */
    static void run(int calls, int ratePerSecond, IntFunction<CompletableFuture<Void>> call) throws Exception {
        List<CompletableFuture<Void>> started = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < calls; i++) {
            waitUntil(start + (long) (i * NANOS_PER_SECOND / ratePerSecond));
            started.add(call.apply(i));
        }
        CompletableFuture.allOf(started.toArray(CompletableFuture[]::new))
                .get(WAIT_FOR_LAST_ANSWERS_SECONDS, TimeUnit.SECONDS);
    }

    private static void waitUntil(long due) {
        for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
