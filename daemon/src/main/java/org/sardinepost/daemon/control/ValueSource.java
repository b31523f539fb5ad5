package org.sardinepost.daemon.control;

import java.util.concurrent.CompletableFuture;

/** A source of one value that may change: a file, or a value of the configuration service. */
public interface ValueSource extends AutoCloseable {
    /** Reads the current value. The future fails with {@link SourceException}. */
    CompletableFuture<SourceValue> read();

    /**
     * Completes with the revision once it exceeds {@code after}, or with the current revision if the wait ends first.
     */
    CompletableFuture<Long> awaitChange(long after);

    /** Returns the path or URL, for log messages. */
    String location();

    @Override
    void close();
}
