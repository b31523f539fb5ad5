package org.sardinepost.daemon.control;

import java.util.concurrent.CompletableFuture;

/** A source that returns the services text and the VM list together and is polled for changes. Thread-safe. */
public interface PolledSource extends AutoCloseable {
    /** Reads the source; concurrent reads share one result. The future fails with {@link SourceException}. */
    CompletableFuture<SourceSnapshot> read();

    /**
     * Makes the next read independent of what earlier reads returned, since a peer reported that the source has returned from
     * an older copy. A source that keeps nothing between reads need not do anything.
     */
    default void forgetHistory() {}

    /** Returns the URL, for log messages. */
    String location();

    @Override
    void close();
}
