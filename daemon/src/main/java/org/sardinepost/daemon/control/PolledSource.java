package org.sardinepost.daemon.control;

import java.util.concurrent.CompletableFuture;

/** A source that returns the services text and the VM list together and is polled for changes. Thread-safe. */
public interface PolledSource extends AutoCloseable {
    /** Reads the source; concurrent reads share one result. The future fails with {@link SourceException}. */
    CompletableFuture<SourceSnapshot> read();

    /** Returns the URL, for log messages. */
    String location();

    @Override
    void close();
}
