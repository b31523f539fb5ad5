package org.sardinepost.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;

/** Open-loop load generator: starts calls at a fixed rate, whether or not earlier calls have completed. */
final class OpenLoopGenerator {
    private static final long COMPLETION_TIMEOUT_SECONDS = 60;
    private static final double NANOS_PER_SECOND = 1e9;

    private OpenLoopGenerator() {}

    /** Starts the calls in order and waits until all have completed. */
    static void run(int calls, int ratePerSecond, IntFunction<CompletableFuture<Void>> call) throws Exception {
        List<CompletableFuture<Void>> started = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < calls; i++) {
            waitUntil(startNanos + (long) (i * NANOS_PER_SECOND / ratePerSecond));
            started.add(call.apply(i));
        }
        CompletableFuture.allOf(started.toArray(CompletableFuture[]::new))
                .get(COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static void waitUntil(long dueNanos) {
        for (long remainingNanos = dueNanos - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = dueNanos - System.nanoTime()) {
            LockSupport.parkNanos(remainingNanos);
        }
    }
}
