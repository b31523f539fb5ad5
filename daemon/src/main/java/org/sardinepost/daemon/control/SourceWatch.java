package org.sardinepost.daemon.control;

import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongConsumer;
import org.sardinepost.daemon.log.LogEvent;

/** Watches a source continuously and reports each new revision. All state is confined to the control thread. */
final class SourceWatch {
    private static final long MIN_RETRY_DELAY_MILLIS = 200;
    private static final long MAX_RETRY_DELAY_MILLIS = 700;

    private final ValueSource source;
    private final ControlThread control;
    private final DoubleSupplier random;
    private final LogEvent downEvent;
    private final LogEvent recoveredEvent;
    private final LongConsumer onRevision;
    private long lastRevision;
    private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    private volatile boolean down;
    private boolean closed;

    SourceWatch(
            ValueSource source,
            ControlThread control,
            DoubleSupplier random,
            LogEvent downEvent,
            LogEvent recoveredEvent,
            LongConsumer onRevision) {
        this.source = source;
        this.control = control;
        this.random = random;
        this.downEvent = downEvent;
        this.recoveredEvent = recoveredEvent;
        this.onRevision = onRevision;
    }

    void start() {
        watchNext();
    }

    /** Returns whether the last watch or read failed. */
    boolean down() {
        return down;
    }

    void close() {
        closed = true;
    }

    /** Reads the value. A failure is logged, sets {@link #down} and runs {@code onFailure}. */
    void read(Consumer<SourceValue> onValue, Runnable onFailure) {
        var unused = source.read()
                .whenCompleteAsync(
                        (value, failure) -> {
                            if (failure != null) {
                                markDown(failure);
                                onFailure.run();
                            } else {
                                recordSuccess();
                                onValue.accept(value);
                            }
                        },
                        control);
    }

    private void watchNext() {
        if (closed) {
            return;
        }
        var unused = source.awaitChange(lastRevision).whenCompleteAsync(this::handleResponse, control);
    }

    private void handleResponse(Long revision, Throwable failure) {
        if (failure != null) {
            markDown(failure);
            control.schedule(nextRetryDelayMillis(), this::watchNext);
            return;
        }
        if (revision < lastRevision) {
            // A stale replica responds immediately; without a delay it would be polled in a tight loop.
            markUp();
            control.schedule(nextRetryDelayMillis(), this::watchNext);
            return;
        }
        recordSuccess();
        if (revision > lastRevision) {
            lastRevision = revision;
            onRevision.accept(revision);
        }
        watchNext();
    }

    /**
     * Returns the next delay, with exponential backoff. Jitter keeps the daemons from polling a recovering service
     * simultaneously.
     */
    private long nextRetryDelayMillis() {
        long delayMillis = Math.round(retryDelayMillis * (0.5 + random.getAsDouble() / 2));
        retryDelayMillis = Math.min(retryDelayMillis * 2, MAX_RETRY_DELAY_MILLIS);
        return delayMillis;
    }

    private void recordSuccess() {
        retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
        markUp();
    }

    private void markUp() {
        if (down) {
            down = false;
            recoveredEvent.info(source.location());
        }
    }

    private void markDown(Throwable failure) {
        if (!down) {
            down = true;
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            downEvent.warn(source.location(), Failures.describe(cause));
        }
    }
}
