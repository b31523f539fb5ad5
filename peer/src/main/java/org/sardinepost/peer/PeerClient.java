package org.sardinepost.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;

/**
 * This daemon's connection to one peer. It reconnects automatically.
 *
 * <p>While the connection is not writable, messages wait in a bounded queue. Load batches are not queued: at most one
 * is pending, and newer ones are merged into it. All state is confined to one event loop.
 */
public final class PeerClient implements AutoCloseable {
    private static final int MAX_QUEUED_MESSAGES = 64;

    private final UpstreamId address;
    private final TransportContext transport;
    private final EventLoop eventLoop;
    private final Backoff backoff;
    private final Deque<QueuedMessage> queue = new ArrayDeque<>();
    private Optional<LoadBatch> pendingLoadBatch = Optional.empty();
    private Optional<Channel> connectedChannel = Optional.empty();
    private Optional<Channel> connectingChannel = Optional.empty();
    private boolean closed;

    PeerClient(UpstreamId address, TransportContext transport, EventLoop eventLoop, DoubleSupplier randomFraction) {
        this.address = address;
        this.transport = transport;
        this.eventLoop = eventLoop;
        this.backoff = new Backoff(
                transport.timings().minBackoffMillis(), transport.timings().maxBackoffMillis(), randomFraction);
    }

    /** Returns the address of the peer. */
    public UpstreamId address() {
        return address;
    }

    /** Sends a message. The future completes once it is written, or fails with {@link PeerException}. */
    public CompletableFuture<Void> send(PeerMessage message) {
        QueuedMessage queued = new QueuedMessage(message, new CompletableFuture<>());
        execute(() -> enqueue(queued), () -> queued.fail(notConnected()));
        return queued.writeResult();
    }

    /** Sends a load batch as soon as the connection is writable; discards it if there is no connection. */
    public void sendLoad(LoadBatch batch) {
        Runnable task = () -> {
            if (connectedChannel.isEmpty()) {
                return;
            }
            pendingLoadBatch = Optional.of(pendingLoadBatch
                    .map(older -> LoadBatches.merge(older, batch))
                    .orElse(batch));
            flushQueue();
        };
        execute(task, () -> {});
    }

    /** Closes the connection permanently after writing the queued messages, if it is writable. */
    @Override
    public void close() {
        Runnable task = () -> {
            closed = true;
            flushQueue();
            connectedChannel.or(() -> connectingChannel).ifPresent(PeerClient::closeChannel);
        };
        execute(task, () -> {});
    }

    void start() {
        execute(this::connect, () -> {});
    }

    void onHello(Channel channel, Hello hello) {
        backoff.reset();
        connectedChannel = Optional.of(channel);
        transport.listener().connected(address, hello);
        flushQueue();
    }

    void onChannelClosed(boolean handshakeCompleted) {
        connectedChannel = Optional.empty();
        connectingChannel = Optional.empty();
        pendingLoadBatch = Optional.empty();
        while (!queue.isEmpty()) {
            queue.remove().fail(notConnected());
        }
        if (handshakeCompleted) {
            transport.listener().disconnected(address);
        }
        scheduleReconnect();
    }

    void flushQueue() {
        while (isWritable() && !queue.isEmpty()) {
            write(queue.remove());
        }
        if (isWritable() && pendingLoadBatch.isPresent()) {
            PeerMessage load = PeerMessage.newBuilder()
                    .setLoadBatch(pendingLoadBatch.get())
                    .build();
            pendingLoadBatch = Optional.empty();
            write(new QueuedMessage(load, new CompletableFuture<>()));
        }
    }

    /** Runs the task on the event loop, or {@code whenClosed} on the caller's thread if the transport is closed. */
    private void execute(Runnable task, Runnable whenClosed) {
        try {
            eventLoop.execute(task);
        } catch (RejectedExecutionException e) {
            whenClosed.run();
        }
    }

    private boolean isWritable() {
        return connectedChannel.filter(Channel::isWritable).isPresent();
    }

    private void enqueue(QueuedMessage queued) {
        if (connectedChannel.isEmpty()) {
            queued.fail(notConnected());
            return;
        }
        if (queue.size() >= MAX_QUEUED_MESSAGES) {
            transport.counters().recordFault(PeerFault.QUEUE_FULL);
            queued.fail(new PeerException(
                    PeerFault.QUEUE_FULL,
                    MAX_QUEUED_MESSAGES + " messages are already queued for peer " + address
                            + "; check the network between the daemons"));
            return;
        }
        queue.add(queued);
        flushQueue();
    }

    private void write(QueuedMessage queued) {
        ChannelFuture unused = connectedChannel
                .orElseThrow()
                .writeAndFlush(queued.message())
                .addListener(result -> {
                    if (result.isSuccess()) {
                        queued.writeResult().complete(null);
                    } else {
                        queued.fail(toPeerException(result.cause()));
                    }
                });
    }

    private void connect() {
        if (closed) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        transport.timings().connectTimeoutMillis())
                .handler(new PeerChannelInitializer(transport, () -> new OutboundHandler(transport, this)));
        ChannelFuture connectFuture = bootstrap.connect(address.host(), address.port());
        connectingChannel = Optional.of(connectFuture.channel());
        ChannelFuture unused = connectFuture.addListener(result -> {
            if (!result.isSuccess()) {
                transport.counters().recordFault(PeerFault.CONNECTION_FAILED);
                scheduleReconnect();
            }
        });
    }

    private void scheduleReconnect() {
        if (closed || eventLoop.isShuttingDown()) {
            return;
        }
        Future<?> unused = eventLoop.schedule(this::connect, backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    private static void closeChannel(Channel channel) {
        ChannelFuture unused = channel.close();
    }

    private PeerException notConnected() {
        return new PeerException(
                PeerFault.NOT_CONNECTED,
                "not connected to peer " + address + "; check that the daemon is running and reachable");
    }

    private PeerException toPeerException(Throwable cause) {
        if (cause.getCause() instanceof PeerException fault) {
            return fault;
        }
        return new PeerException(
                PeerFault.CONNECTION_FAILED,
                "writing to peer " + address + " failed: " + cause.getMessage() + "; check the network",
                cause);
    }

    private record QueuedMessage(PeerMessage message, CompletableFuture<Void> writeResult) {
        void fail(PeerException fault) {
            writeResult.completeExceptionally(fault);
        }
    }
}
