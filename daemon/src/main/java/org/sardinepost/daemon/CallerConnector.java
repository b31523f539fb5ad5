package org.sardinepost.daemon;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.daemon.call.CallerConnections;
import org.sardinepost.daemon.call.CallerEndPoint;

/** A connector whose endpoints can detect that the caller disconnected while a call is in progress. */
final class CallerConnector extends ServerConnector {
    private final CallerConnections connections;
    private final DescriptorReserve descriptors;
    private Optional<ServerSocketChannel> listener = Optional.empty();

    CallerConnector(
            Server server,
            CallerConnections connections,
            DescriptorReserve descriptors,
            int acceptors,
            int selectors,
            ConnectionFactory... factories) {
        super(server, acceptors, selectors, factories);
        this.connections = connections;
        this.descriptors = descriptors;
    }

    /** Accepts connections from a listener that is already bound. Must be called before the connector is opened. */
    void setListener(ServerSocketChannel boundListener) {
        listener = Optional.of(boundListener);
    }

    @Override
    protected ServerSocketChannel openAcceptChannel() throws IOException {
        return listener.isPresent() ? listener.get() : super.openAcceptChannel();
    }

    /** Runs the one acceptor of this connector, which is the only user of the reserve. */
    @Override
    protected SelectorManager newSelectorManager(Executor executor, Scheduler scheduler, int selectors) {
        return new ServerConnectorManager(executor, scheduler, selectors) {
            @Override
            public void accept(SelectableChannel channel, Object attachment) {
                if (descriptors.tryAcquire()) {
                    super.accept(channel, attachment);
                } else {
                    IO.close(channel);
                    connections.refusedForDescriptors();
                }
            }
        };
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        CallerEndPoint endPoint =
                new CallerEndPoint(channel, selector, key, getScheduler(), getExecutor(), connections);
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }
}
