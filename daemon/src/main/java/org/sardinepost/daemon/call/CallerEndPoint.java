package org.sardinepost.daemon.call;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CancellationException;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller connection that can be monitored for a close by the caller while a call is in progress.
 *
 * <p>The HTTP/1.1 server does not read between the end of a request and its response, so it does not notice that a caller
 * disconnects. A watch reads ahead for this purpose; bytes of a pipelined request are kept for the next read of the server.
 */
public final class CallerEndPoint extends SocketChannelEndPoint {
    private static final int READ_AHEAD_BYTES = 2048;

    private final Executor executor;
    private final Object lock = new Object();
    private ByteBuffer readAhead = BufferUtil.EMPTY_BUFFER;
    private CloseWatch watch;

    public CallerEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler, Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /** Runs the action once if the caller closes the connection before {@link #unwatch}. */
    void watch(Runnable onClose) {
        synchronized (lock) {
            if (readAhead.hasRemaining()) {
                return;
            }
            watch = new CloseWatch(onClose);
            if (!tryFillInterested(watch)) {
                watch = null;
            }
        }
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
            return readAhead.hasRemaining() ? BufferUtil.append(buffer, readAhead) : super.fill(buffer);
        }
    }

    @Override
    protected void needsFillInterest() {
        if (hasReadAhead()) {
            executor.execute(() -> getFillInterest().fillable());
        } else {
            super.needsFillInterest();
        }
    }

    private boolean hasReadAhead() {
        synchronized (lock) {
            return readAhead.hasRemaining();
        }
    }

    private boolean readAheadReachesEnd(CloseWatch firedWatch) throws IOException {
        synchronized (lock) {
            if (watch != firedWatch) {
                return false;
            }
            watch = null;
            ByteBuffer buffer = BufferUtil.allocate(READ_AHEAD_BYTES);
            int filled = super.fill(buffer);
            readAhead = buffer;
            return filled < 0;
        }
    }

    private boolean clearAndCheckCancelled(CloseWatch failedWatch) {
        synchronized (lock) {
            boolean wasCurrent = watch == failedWatch;
            watch = null;
            return !wasCurrent;
        }
    }

    private final class CloseWatch implements Callback {
        private final Runnable onClose;

        CloseWatch(Runnable onClose) {
            this.onClose = onClose;
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }

        @Override
        public void succeeded() {
            try {
                if (readAheadReachesEnd(this)) {
                    onClose.run();
                }
            } catch (IOException e) {
                onClose.run();
            }
        }

        @Override
        public void failed(Throwable cause) {
            if (!clearAndCheckCancelled(this)) {
                onClose.run();
            }
        }
    }
}
