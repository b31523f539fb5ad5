package org.sardinepost.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An endpoint that reports a connection reset as a failure.
 *
 * <p>Jetty treats a reset as the end of the stream, so that a close-delimited response would appear complete although it
 * was truncated.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {
    private static final int END_OF_STREAM = -1;

    ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return END_OF_STREAM;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                notIdle();
            } else if (filled == END_OF_STREAM) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
