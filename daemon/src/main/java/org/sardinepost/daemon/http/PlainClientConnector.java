package org.sardinepost.daemon.http;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Opens plaintext connections only, and distinguishes a connection reset from an orderly close.
 *
 * <p>Jetty's connector loads the trust store of the JDK on start, which takes a sixth of the startup time of a daemon.
 */
public final class PlainClientConnector extends ClientConnector {
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new UnloadedSslContextFactory();
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    private static final class UnloadedSslContextFactory extends SslContextFactory.Client {
        @Override
        protected void doStart() {}
    }
}
