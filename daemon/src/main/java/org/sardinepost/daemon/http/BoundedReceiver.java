package org.sardinepost.daemon.http;

import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Fails a response that is preceded by two interim responses with the same status, and closes a connection that receives bytes
 * that belong to no response.
 *
 * <p>Jetty skips one interim response of a status and takes a repetition for the final response. It parses all that it has
 * received before it processes the first, so that a repetition must be found while it is parsed: interim responses without
 * end would fill the heap.
 */
final class BoundedReceiver extends HttpReceiverOverHTTP {
    private final BoundedChannel channel;
    private final Set<Integer> interimStatuses = new HashSet<>();

    BoundedReceiver(BoundedChannel channel) {
        super(channel);
        this.channel = channel;
    }

    @Override
    public void startResponse(HttpVersion version, int status, String reason) {
        if (!channel.responseDue()) {
            throw new BadMessageException("the response follows the final response to the request");
        }
        if (!HttpStatus.isInformational(status)) {
            channel.finalResponseStarted();
            interimStatuses.clear();
        } else if (!interimStatuses.add(status)) {
            throw new BadMessageException("the response is preceded by two interim responses with status " + status);
        }
        super.startResponse(version, status, reason);
    }

    /**
     * Closes the connection even if its exchange is complete. Jetty does not, and then reads from the connection in a loop or
     * never again, while the next request on it waits for its timeout.
     */
    @Override
    public void failAndClose(Throwable failure) {
        super.failAndClose(failure);
        channel.getHttpConnection().getEndPoint().close();
    }
}
