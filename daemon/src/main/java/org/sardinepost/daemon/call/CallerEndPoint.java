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
 * A connection of a caller that can be watched for its end while a call is in progress.
 *
 * <p>The HTTP/1.1 server reads nothing between the end of a request and its answer, so it does not notice a caller that
 * goes away. A watch reads ahead; bytes of a following request are kept for the server's next read.
 */
public final class CallerEndPoint extends SocketChannelEndPoint {
    private static final int READ_AHEAD_BYTES = 2048;

    private final Executor executor;
    private final Object lock = new Object();
    private ByteBuffer readAhead = BufferUtil.EMPTY_BUFFER;
    private Watch watch;

    public CallerEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler, Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /** Runs the action once if the caller ends the connection before {@link #unwatch}. */
    void watch(Runnable onEnd) {
        synchronized (lock) {
            if (readAhead.hasRemaining()) {
                return;
            }
            watch = new Watch(onEnd);
            if (!tryFillInterested(watch)) {
                watch = null;
            }
        }
    }

    /** Ends the watch; needed before the server reads again. */
    void unwatch() {
        synchronized (lock) {
            if (watch != null) {
                watch = null;
                getFillInterest().onFail(new CancellationException("the watch is over"));
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

    private boolean endSeen(Watch fired) throws IOException {
        synchronized (lock) {
            if (watch != fired) {
                return false;
            }
            watch = null;
            ByteBuffer buffer = BufferUtil.allocate(READ_AHEAD_BYTES);
            int filled = super.fill(buffer);
            readAhead = buffer;
            return filled < 0;
        }
    }

    private boolean cancelled(Watch failed) {
        synchronized (lock) {
            boolean current = watch == failed;
            watch = null;
            return !current;
        }
    }

    private final class Watch implements Callback {
        private final Runnable onEnd;

        Watch(Runnable onEnd) {
            this.onEnd = onEnd;
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }

        @Override
        public void succeeded() {
            try {
                if (endSeen(this)) {
                    onEnd.run();
                }
            } catch (IOException e) {
                onEnd.run();
            }
        }

        @Override
        public void failed(Throwable cause) {
            if (!cancelled(this)) {
                onEnd.run();
            }
        }
    }
}
