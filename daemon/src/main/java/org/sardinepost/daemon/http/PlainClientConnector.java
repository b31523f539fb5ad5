package org.sardinepost.daemon.http;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Opens connections without TLS only.
 *
 * <p>The library's connector loads the trust store of the JDK when it starts, which takes a sixth of the start of a daemon.
 */
public final class PlainClientConnector extends ClientConnector {
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new Unloaded();
    }

    private static final class Unloaded extends SslContextFactory.Client {
        @Override
        protected void doStart() {}
    }
}
