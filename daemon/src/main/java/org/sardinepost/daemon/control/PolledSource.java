package org.sardinepost.daemon.control;

import java.util.concurrent.CompletableFuture;

/** A source that tells the services text and the VM list in one answer, and is asked again and again. Thread-safe. */
public interface PolledSource extends AutoCloseable {
    /** Asks the source now; questions that overlap share their answer. Fails with {@link SourceException}. */
    CompletableFuture<SourceReading> read();

    /** The URL, for messages. */
    String location();

    @Override
    void close();
}
