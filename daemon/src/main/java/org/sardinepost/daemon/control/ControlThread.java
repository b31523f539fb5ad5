package org.sardinepost.daemon.control;

import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sardinepost.daemon.log.LogEvent;

/** The one thread on which all control work runs. A fault in one task is logged and does not stop the others. */
public final class ControlThread implements Executor, AutoCloseable {
    private static final long CLOSE_LIMIT_MILLIS = 2_000;

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control");
        thread.setDaemon(true);
        return thread;
    });

    @Override
    public void execute(Runnable task) {
        after(0, task);
    }

    /** Runs a task once after the delay. Tasks that arrive after the close are dropped. */
    public void after(long delayMillis, Runnable task) {
        try {
            Future<?> unused = executor.schedule(guarded(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // Callbacks of connections that end during the close have nothing left to do.
        }
    }

    /** Runs a task again and again with the delay between two runs. */
    public void every(long delayMillis, Runnable task) {
        Future<?> unused =
                executor.scheduleWithFixedDelay(guarded(task), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LogEvent.CONTROL_FAULT.error(e, e.toString());
            }
        };
    }

    @Override
    public void close() {
        executor.shutdownNow();
        try {
            executor.awaitTermination(CLOSE_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
