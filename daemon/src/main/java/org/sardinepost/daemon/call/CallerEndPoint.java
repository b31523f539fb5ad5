package org.sardinepost.daemon.call;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.daemon.http.ReadAheadBuffer;

/**
 * A caller connection that can be read while a call is in progress.
 *
 * <p>The HTTP/1.1 server does not read between the end of a request and its response, so it notices neither that a caller
 * disconnects nor that it sends further requests. A watch reads ahead for this purpose; the bytes are kept for the next
 * read of the server.
 */
public final class CallerEndPoint extends SocketChannelEndPoint {
    /**
     * Bounds the requests that a caller can send ahead. Further bytes stay in the socket, and hide a disconnect until the
     * end of the call.
     */
    private static final int READ_AHEAD_BYTES = 64 << 10;

    private final Executor executor;
    private final CallPipeline pipeline = new CallPipeline();
    private final Object lock = new Object();
    private final ReadAheadBuffer readAhead = new ReadAheadBuffer(READ_AHEAD_BYTES);
    /** The watch for the call in progress; null while the server reads. */
    private ConnectionWatch watch;

    public CallerEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler, Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /** Returns the calls that were dispatched for requests sent ahead. */
    CallPipeline pipeline() {
        return pipeline;
    }

    /**
     * Reads ahead until {@link #unwatch}. If the caller has already closed the connection, this is noticed before the
     * method returns.
     *
     * @param onClose run once if the caller closes the connection
     * @param onReadAhead run whenever bytes of further requests were read, with a supplier of their heads
     */
    void watch(Runnable onClose, Consumer<Supplier<Optional<ByteBuffer>>> onReadAhead) {
        ConnectionWatch started = new ConnectionWatch(onClose, onReadAhead);
        synchronized (lock) {
            watch = started;
        }
        started.succeeded();
    }

    /** Ends the watch. Must be called before the server reads again. */
    void unwatch() {
        synchronized (lock) {
            if (watch != null) {
                watch = null;
                getFillInterest().onFail(new CancellationException("the connection is no longer watched"));
            }
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (lock) {
            if (!readAhead.isEmpty()) {
                return readAhead.transferTo(buffer);
            }
            int filled = super.fill(buffer);
            return filled > 0 ? readAhead.retainSurplus(buffer, filled) : filled;
        }
    }

    @Override
    protected void needsFillInterest() {
        if (serverCanRead()) {
            executor.execute(() -> getFillInterest().fillable());
        } else {
            super.needsFillInterest();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        pipeline.close();
    }

    /** Returns whether bytes were read ahead for the server. A watch waits for further bytes from the connection. */
    private boolean serverCanRead() {
        synchronized (lock) {
            return watch == null && !readAhead.isEmpty();
        }
    }

    private void readMoreWhenAvailable(ConnectionWatch current) {
        if (!readAhead.isFull()) {
            tryFillInterested(current);
        }
    }

    private ReadResult readAhead(ConnectionWatch firedWatch) throws IOException {
        synchronized (lock) {
            if (watch != firedWatch) {
                return ReadResult.UNWATCHED;
            }
            if (!readAhead.isFull() && super.fill(readAhead.writable()) < 0) {
                watch = null;
                return ReadResult.CLOSED;
            }
            readMoreWhenAvailable(firedWatch);
            if (readAhead.isEmpty()) {
                readAhead.releaseMemory();
                return ReadResult.NOTHING;
            }
            return ReadResult.READ;
        }
    }

    /**
     * Returns the next head that was read ahead. Once the watch has ended, the server may have received a request with a
     * body, so that the bytes read ahead do not start with a head.
     */
    private Optional<ByteBuffer> nextHead(ConnectionWatch current) {
        synchronized (lock) {
            return watch == current ? readAhead.nextHead() : Optional.empty();
        }
    }

    private boolean clearAndCheckCancelled(ConnectionWatch failedWatch) {
        synchronized (lock) {
            boolean wasCurrent = watch == failedWatch;
            if (wasCurrent) {
                watch = null;
            }
            return !wasCurrent;
        }
    }

    private void closed(Runnable onClose) {
        pipeline.close();
        onClose.run();
    }

    private enum ReadResult {
        UNWATCHED,
        NOTHING,
        READ,
        CLOSED
    }

    private final class ConnectionWatch implements Callback {
        private final Runnable onClose;
        private final Consumer<Supplier<Optional<ByteBuffer>>> onReadAhead;

        ConnectionWatch(Runnable onClose, Consumer<Supplier<Optional<ByteBuffer>>> onReadAhead) {
            this.onClose = onClose;
            this.onReadAhead = onReadAhead;
        }

        void reportReadAhead() {
            onReadAhead.accept(() -> nextHead(this));
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }

        @Override
        public void succeeded() {
            try {
                switch (readAhead(this)) {
                    case READ -> reportReadAhead();
                    case CLOSED -> closed(onClose);
                    case NOTHING, UNWATCHED -> {}
                }
            } catch (IOException e) {
                closed(onClose);
            }
        }

        @Override
        public void failed(Throwable cause) {
            if (!clearAndCheckCancelled(this)) {
                closed(onClose);
            }
        }
    }
}
