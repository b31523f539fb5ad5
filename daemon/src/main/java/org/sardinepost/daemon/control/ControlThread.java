package org.sardinepost.daemon.control;

import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sardinepost.daemon.log.LogEvent;

/**
 * The single thread that runs all control plane tasks, or the one beside it that validates texts. An exception or error in
 * one task is logged and does not affect the others: the executor would otherwise end a repeated task without notice.
 */
public final class ControlThread implements Executor, AutoCloseable {
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final ScheduledExecutorService executor;

    /** Creates the thread that handles peer messages and timers. */
    public ControlThread() {
        this("control");
    }

    ControlThread(String name) {
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    @Override
    public void execute(Runnable task) {
        schedule(0, task);
    }

    /** Runs a task once after the delay. Tasks submitted after {@link #close} are dropped. */
    public void schedule(long delayMillis, Runnable task) {
        try {
            Future<?> unused = executor.schedule(loggingFailures(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // Expected after close: callbacks of connections that end during shutdown have nothing left to do.
        }
    }

    /**
     * Runs a task repeatedly, with the delay before the first run and between the end of one run and the start of the
     * next.
     */
    public void scheduleRepeatedly(long delayMillis, Runnable task) {
        Future<?> unused =
                executor.scheduleWithFixedDelay(loggingFailures(task), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (Throwable e) {
                LogEvent.CONTROL_THREAD_ERROR.error(e, e.toString());
            }
        };
    }

    @Override
    public void close() {
        executor.shutdownNow();
        try {
            executor.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
