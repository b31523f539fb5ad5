package org.sardinepost.daemon.call;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CancellationException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.http2.HTTP2Session;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.clients.ConnectionLoad;
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

    /** What is read ahead in any case, to notice a disconnect: a caller that waits for its response sends no more. */
    private static final int MIN_READ_AHEAD_BYTES = 1 << 10;

    /** The replies that may wait for a client of HTTP/2 that does not read, until no more of its frames are read. */
    private static final int MAX_UNREAD_FRAMES = 32;

    /** Holds about as many frames, and a whole one of any kind but DATA and HEADERS. */
    private static final int SMALL_READ_BYTES = 1 << 9;

    /** A stream whose refusal was not read held 4.3 KB of objects; the memory of its call is counted in addition. */
    private static final long STREAM_BYTES = 4 << 10;

    /** The direct buffer in which the server keeps the head of a response that is not written completely. */
    private static final int WRITE_BYTES = 20 << 10;

    private final SelectionKey key;
    private final Executor executor;
    private final CallerConnections connections;
    private final ConnectionAccount account;
    private final CallPipeline pipeline;
    private final Object lock = new Object();
    private final ReadAheadBuffer readAhead = new ReadAheadBuffer(READ_AHEAD_BYTES);
    /** The watch for the call in progress; null while the server reads. */
    private ConnectionWatch watch;
    /** The bytes of the current head that the server has received, and the memory that is counted for it. */
    private int headBytes;

    private long headMemory;
    private long readAheadMemory;
    private long writeMemory;
    /** Set when the connection ends: bytes that are still passed to the server are no longer counted, or would stay counted. */
    private boolean accountClosed;

    private boolean readingSuspended;
    /** Whether the current request, and one behind it, arrived before the response to the request before was ready. */
    private boolean sentAhead;

    private boolean nextSentAhead;
    private int refusalsInARow;
    private OptionalLong pausedUntilNanos = OptionalLong.empty();
    /** The streams that are counted, and those of them that are closed. */
    private int streams;

    private int closedStreams;
    private Optional<HTTP2Session> http2Session = Optional.empty();

    public CallerEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Executor executor,
            CallerConnections connections) {
        super(channel, selector, key, scheduler);
        this.key = key;
        this.executor = executor;
        this.connections = connections;
        this.account = connections.openAccount();
        this.pipeline = new CallPipeline(account, this::mayWorkAhead);
    }

    ConnectionAccount account() {
        return account;
    }

    ConnectionLoad<CallerEndPoint> load() {
        return account.load(this);
    }

    /** Bounds the frames of a connection that turned out to be one of HTTP/2. */
    public void boundFramesOf(HTTP2Session session) {
        synchronized (lock) {
            http2Session = Optional.of(session);
        }
    }

    /** Counts a stream of HTTP/2 until {@link #streamClosed}, or returns false if it is to be refused. */
    public boolean tryOpenStream() {
        synchronized (lock) {
            if (accountClosed || !connections.policy().mayOpenStream(connections.state(), load(), streams)) {
                connections.streamRefused();
                return false;
            }
            streams++;
            account.addForCalls(STREAM_BYTES);
            return true;
        }
    }

    /**
     * Ends the count of a stream. While the socket takes no more, the frames that wait for it hold the streams whose frames they
     * are, also closed ones: 160 small responses in one write, about 9 KB each with the exceptions of a failed connection.
     */
    public void streamClosed() {
        synchronized (lock) {
            closedStreams++;
            releaseClosedStreams();
        }
    }

    private void releaseClosedStreams() {
        if (!accountClosed && writeMemory == 0) {
            streams -= closedStreams;
            account.addForCalls(-closedStreams * STREAM_BYTES);
            closedStreams = 0;
        }
    }

    private boolean mayWorkAhead() {
        synchronized (lock) {
            return refusalsInARow == 0 && connections.policy().mayWorkAhead(connections.state(), load());
        }
    }

    /** Returns whether a request may be admitted in its turn. */
    boolean mayAdmit() {
        return connections.policy().mayAdmit(connections.state(), load(), sentAhead());
    }

    /** Begins the turn of the next request. */
    void requestBegan() {
        synchronized (lock) {
            sentAhead = nextSentAhead;
            nextSentAhead = false;
        }
    }

    boolean sentAhead() {
        synchronized (lock) {
            return sentAhead;
        }
    }

    /** Delays the requests behind the current one if it was refused with 503, and returns whether it does. */
    boolean paceRequestsBehind(boolean refused) {
        synchronized (lock) {
            refusalsInARow = refused ? refusalsInARow + 1 : 0;
            boolean paused = refused && !readAhead.isEmpty() && nextSentAhead;
            pausedUntilNanos = paused
                    ? OptionalLong.of(connections.now() + connections.policy().pauseNanos(refusalsInARow))
                    : OptionalLong.empty();
            return paused;
        }
    }

    private boolean paused() {
        return pausedUntilNanos.isPresent() && connections.now() - pausedUntilNanos.getAsLong() < 0;
    }

    void callBegan() {
        account.callBegan();
        synchronized (lock) {
            if (!readAhead.isHttp2()) {
                account.progress().readPart(0, connections.now());
            }
        }
    }

    void responseBegan() {
        if (isHttp2()) {
            account.progress().streamResponseBegan(connections.now());
        }
    }

    void callEnded() {
        if (isHttp2()) {
            account.progress().streamResponseEnded(connections.now());
        }
        account.callEnded(connections.now());
        account.progress().readWhole();
        synchronized (lock) {
            headBytes = 0;
            account.addForCalls(-headMemory);
            headMemory = 0;
        }
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
        account.progress().readWhole();
        ConnectionWatch started = new ConnectionWatch(onClose, onReadAhead);
        synchronized (lock) {
            watch = started;
        }
        started.succeeded();
    }

    /**
     * Ends the watch. Must be called before the server reads again.
     *
     * @param requestRead whether the server has read the whole request, so that what was read ahead belongs to the next one
     */
    void unwatch(boolean requestRead) {
        synchronized (lock) {
            nextSentAhead = requestRead ? !readAhead.isEmpty() : sentAhead;
            if (watch != null) {
                watch = null;
                getFillInterest().onFail(new CancellationException("the connection is no longer watched"));
            }
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (lock) {
            boolean inHead = inHead();
            int allowance = readAllowance();
            if (allowance == 0) {
                readingSuspended = true;
                return 0;
            }
            int filled = fillUpTo(buffer, allowance);
            if (filled > 0 && !readAhead.isHttp2()) {
                account.progress().readPart(filled, connections.now());
                if (inHead) {
                    countHead(buffer.slice(buffer.limit() - filled, filled));
                }
            }
            countReadAhead();
            return filled;
        }
    }

    private boolean inHead() {
        return !readAhead.isHttp2() && !account.hasCalls();
    }

    /** Returns how many bytes may be read now; 0 if reading has to wait for memory or for the client. */
    private int readAllowance() {
        if (paused()) {
            return 0;
        }
        if (inHead()) {
            return connections.policy().headAllowance(connections.state(), headBytes);
        }
        return http2Session.map(this::frameAllowance).orElse(Integer.MAX_VALUE);
    }

    private int frameAllowance(HTTP2Session session) {
        boolean socketFull = writeMemory > 0;
        if (!socketFull) {
            return Integer.MAX_VALUE;
        }
        return session.getFrameQueueSize() > MAX_UNREAD_FRAMES ? 0 : SMALL_READ_BYTES;
    }

    private int fillUpTo(ByteBuffer buffer, int allowance) throws IOException {
        if (!buffer.hasRemaining()) {
            BufferUtil.clear(buffer);
        }
        int start = buffer.limit();
        if (buffer.capacity() - start <= allowance) {
            return fillWhole(buffer);
        }
        ByteBuffer part = buffer.duplicate().clear().slice(start, allowance).limit(0);
        int filled = fillWhole(part);
        buffer.limit(start + Math.max(0, filled));
        return filled;
    }

    private int fillWhole(ByteBuffer buffer) throws IOException {
        if (!readAhead.isEmpty()) {
            return readAhead.transferTo(buffer);
        }
        int filled = super.fill(buffer);
        return filled > 0 ? readAhead.retainSurplus(buffer, filled) : filled;
    }

    private void countHead(ByteBuffer part) {
        if (accountClosed) {
            return;
        }
        headBytes += part.remaining();
        long memory = HeadMemory.of(part);
        headMemory += memory;
        account.addForCalls(memory);
    }

    private void countReadAhead() {
        if (accountClosed) {
            return;
        }
        account.addForCalls(readAhead.capacity() - readAheadMemory);
        readAheadMemory = readAhead.capacity();
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        long before = BufferUtil.remaining(buffers);
        boolean complete = super.flush(buffers);
        account.progress().wrote(before - BufferUtil.remaining(buffers), !complete, connections.now());
        countWrite(complete ? 0 : WRITE_BYTES);
        return complete;
    }

    private void countWrite(int memory) {
        synchronized (lock) {
            if (!accountClosed) {
                account.addForCalls(memory - writeMemory);
                writeMemory = memory;
                releaseClosedStreams();
            }
        }
    }

    /** Reads again if reading was suspended while memory was short. */
    void resumeReading() {
        synchronized (lock) {
            if (!readingSuspended || readAllowance() == 0) {
                return;
            }
            readingSuspended = false;
        }
        executor.execute(() -> getFillInterest().fillable());
    }

    @Override
    protected void needsFillInterest() {
        if (readingSuspended()) {
            return;
        }
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
        connections.closed(this);
        // Until the selector has handled all connections that were ready with this one, it keeps the key of the closed
        // channel.
        key.attach(null);
        synchronized (lock) {
            accountClosed = true;
            account.addForCalls(-headMemory - readAheadMemory - writeMemory - streams * STREAM_BYTES);
            headMemory = 0;
        }
    }

    @Override
    public void onOpen() {
        super.onOpen();
        connections.opened(this);
    }

    private boolean isHttp2() {
        synchronized (lock) {
            return readAhead.isHttp2();
        }
    }

    private boolean readingSuspended() {
        synchronized (lock) {
            return readingSuspended;
        }
    }

    /** Returns whether bytes were read ahead for the server. A watch waits for further bytes from the connection. */
    private boolean serverCanRead() {
        synchronized (lock) {
            return watch == null && !readAhead.isEmpty();
        }
    }

    private void readMoreWhenAvailable(ConnectionWatch current) {
        if (mayReadAhead()) {
            tryFillInterested(current);
        }
    }

    private boolean mayReadAhead() {
        return !readAhead.isFull() && (readAhead.size() < MIN_READ_AHEAD_BYTES || mayWorkAhead());
    }

    private ReadResult readAhead(ConnectionWatch firedWatch) throws IOException {
        synchronized (lock) {
            if (watch != firedWatch) {
                return ReadResult.UNWATCHED;
            }
            if (mayReadAhead() && super.fill(readAhead.writable()) < 0) {
                watch = null;
                return ReadResult.CLOSED;
            }
            countReadAhead();
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
