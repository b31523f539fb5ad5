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
 * This daemon's connection to one peer, opened again whenever it ends.
 *
 * <p>Messages wait in a bounded queue while the connection does not take more. Load batches do not queue: at most one
 * waits, and a newer one is merged into it. All state belongs to one event loop.
 */
public final class PeerClient implements AutoCloseable {
    private static final int MAX_QUEUED_MESSAGES = 64;

    private final UpstreamId address;
    private final PeerContext peer;
    private final EventLoop loop;
    private final Backoff backoff;
    private final Deque<Outgoing> queue = new ArrayDeque<>();
    private Optional<LoadBatch> pendingLoad = Optional.empty();
    private Optional<Channel> usable = Optional.empty();
    private Optional<Channel> opening = Optional.empty();
    private boolean closed;

    PeerClient(UpstreamId address, PeerContext peer, EventLoop loop, DoubleSupplier random) {
        this.address = address;
        this.peer = peer;
        this.loop = loop;
        this.backoff =
                new Backoff(peer.timings().minBackoffMillis(), peer.timings().maxBackoffMillis(), random);
    }

    /** The peer address that this client connects to. */
    public UpstreamId address() {
        return address;
    }

    /** Sends a message; completes when it is written, fails with {@link PeerException} if it cannot be. */
    public CompletableFuture<Void> send(PeerMessage message) {
        Outgoing outgoing = new Outgoing(message, new CompletableFuture<>());
        execute(() -> enqueue(outgoing), () -> outgoing.fail(notConnected()));
        return outgoing.written();
    }

    /** Sends a load batch, or keeps it for when the connection takes more. It is dropped when there is no connection. */
    public void sendLoad(LoadBatch batch) {
        Runnable keep = () -> {
            if (usable.isEmpty()) {
                return;
            }
            pendingLoad = Optional.of(
                    pendingLoad.map(older -> LoadBatches.merge(older, batch)).orElse(batch));
            drain();
        };
        execute(keep, () -> {});
    }

    /** Ends the connection; queued messages are written first. */
    @Override
    public void close() {
        Runnable end = () -> {
            closed = true;
            drain();
            usable.or(() -> opening).ifPresent(PeerClient::closeChannel);
        };
        execute(end, () -> {});
    }

    void start() {
        execute(this::connect, () -> {});
    }

    void greeted(Channel channel, Hello hello) {
        backoff.reset();
        usable = Optional.of(channel);
        peer.listener().connected(address, hello);
        drain();
    }

    void closed(boolean wasGreeted) {
        usable = Optional.empty();
        opening = Optional.empty();
        pendingLoad = Optional.empty();
        while (!queue.isEmpty()) {
            queue.remove().fail(notConnected());
        }
        if (wasGreeted) {
            peer.listener().disconnected(address);
        }
        reconnect();
    }

    void drain() {
        while (takesMore() && !queue.isEmpty()) {
            write(queue.remove());
        }
        if (takesMore() && pendingLoad.isPresent()) {
            PeerMessage load =
                    PeerMessage.newBuilder().setLoadBatch(pendingLoad.get()).build();
            pendingLoad = Optional.empty();
            write(new Outgoing(load, new CompletableFuture<>()));
        }
    }

    /** Runs a task on the event loop, or the alternative if the transport is closed. */
    private void execute(Runnable task, Runnable whenClosed) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            whenClosed.run();
        }
    }

    private boolean takesMore() {
        return usable.filter(Channel::isWritable).isPresent();
    }

    private void enqueue(Outgoing outgoing) {
        if (usable.isEmpty()) {
            outgoing.fail(notConnected());
            return;
        }
        if (queue.size() >= MAX_QUEUED_MESSAGES) {
            peer.counters().failed(PeerFault.QUEUE_FULL);
            outgoing.fail(new PeerException(
                    PeerFault.QUEUE_FULL,
                    MAX_QUEUED_MESSAGES + " messages already wait for peer " + address
                            + "; check the network between the daemons"));
            return;
        }
        queue.add(outgoing);
        drain();
    }

    private void write(Outgoing outgoing) {
        ChannelFuture unused = usable.orElseThrow()
                .writeAndFlush(outgoing.message())
                .addListener(done -> {
                    if (done.isSuccess()) {
                        outgoing.written().complete(null);
                    } else {
                        outgoing.fail(asPeerException(done.cause()));
                    }
                });
    }

    private void connect() {
        if (closed) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, peer.timings().connectMillis())
                .handler(new PeerPipeline(peer, () -> new OutboundHandler(peer, this)));
        ChannelFuture attempt = bootstrap.connect(address.host(), address.port());
        opening = Optional.of(attempt.channel());
        ChannelFuture unused = attempt.addListener(done -> {
            if (!done.isSuccess()) {
                peer.counters().failed(PeerFault.CONNECTION_FAILED);
                reconnect();
            }
        });
    }

    private void reconnect() {
        if (closed || loop.isShuttingDown()) {
            return;
        }
        Future<?> unused = loop.schedule(this::connect, backoff.next(), TimeUnit.MILLISECONDS);
    }

    private static void closeChannel(Channel channel) {
        ChannelFuture unused = channel.close();
    }

    private PeerException notConnected() {
        return new PeerException(
                PeerFault.NOT_CONNECTED,
                "there is no connection to peer " + address + "; check that the daemon runs and can be reached");
    }

    private PeerException asPeerException(Throwable cause) {
        if (cause.getCause() instanceof PeerException fault) {
            return fault;
        }
        return new PeerException(
                PeerFault.CONNECTION_FAILED,
                "writing to peer " + address + " failed: " + cause.getMessage() + "; check the network",
                cause);
    }

    private record Outgoing(PeerMessage message, CompletableFuture<Void> written) {
        void fail(PeerException fault) {
            written.completeExceptionally(fault);
        }
    }
}
