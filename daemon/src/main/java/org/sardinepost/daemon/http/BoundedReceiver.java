package org.sardinepost.daemon.http;

import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Fails a response that is preceded by two interim responses with the same status.
 *
 * <p>Jetty skips one interim response of a status and takes a repetition for the final response. It parses all that it has
 * received before it processes the first, so that a repetition must be found while it is parsed: interim responses without
 * end would fill the heap.
 */
final class BoundedReceiver extends HttpReceiverOverHTTP {
    private final Set<Integer> interimStatuses = new HashSet<>();

    BoundedReceiver(HttpChannelOverHTTP channel) {
        super(channel);
    }

    @Override
    public void startResponse(HttpVersion version, int status, String reason) {
        if (!HttpStatus.isInformational(status)) {
            interimStatuses.clear();
        } else if (!interimStatuses.add(status)) {
            // Jetty closes no connection whose exchange it takes for complete, as it does while it skips a response.
            getHttpChannel().getHttpConnection().getEndPoint().close();
            throw new BadMessageException("the response is preceded by two interim responses with status " + status);
        }
        super.startResponse(version, status, reason);
    }
}
