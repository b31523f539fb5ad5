package org.sardinepost.daemon.http;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Opens connections without TLS only, and tells resets from regular ends.
 *
 * <p>The library's connector loads the trust store of the JDK when it starts, which takes a sixth of the start of a daemon.
 */
public final class PlainClientConnector extends ClientConnector {
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new Unloaded();
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    private static final class Unloaded extends SslContextFactory.Client {
        @Override
        protected void doStart() {}
    }
}
