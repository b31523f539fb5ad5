package org.sardinepost.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Binds the caller address before the components of the daemon are created.
 *
 * <p>The connections of callers then wait in the accept backlog during most of a start. A caller whose connection is
 * refused uses up its attempts within moments if all daemons start at the same time.
 */
final class EarlyListener {
    private EarlyListener() {}

    static ServerSocketChannel bind(UpstreamId address) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(new InetSocketAddress(address.host(), address.port()), CallerServerFactory.ACCEPT_BACKLOG);
        } catch (IOException e) {
            listener.close();
            throw e;
        }
        return listener;
    }
}
