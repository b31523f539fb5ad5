package org.sardinepost.daemon.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** A source that answers at once with what the test set, and counts the reads of one daemon. */
final class FakePolledSource implements PolledSource {
    /** What all daemons of a test read. */
    static final class Content {
        private volatile SourceReading reading = new SourceReading(1, Optional.empty(), "");

        synchronized void text(String text) {
            long revision = reading.revision() + 1;
            reading = new SourceReading(revision, Optional.of(new SourceValue(revision, text)), reading.vmList());
        }

        synchronized void vmList(String list) {
            reading = new SourceReading(reading.revision() + 1, reading.servicesText(), list);
        }
    }

    final AtomicInteger reads = new AtomicInteger();
    volatile boolean refuses;
    private final Content content;

    FakePolledSource(Content content) {
        this.content = content;
    }

    @Override
    public CompletableFuture<SourceReading> read() {
        reads.incrementAndGet();
        return refuses
                ? CompletableFuture.failedFuture(new SourceException("refused; wait until it answers again"))
                : CompletableFuture.completedFuture(content.reading);
    }

    @Override
    public String location() {
        return "a test";
    }

    @Override
    public void close() {
        // Nothing is open.
    }
}
