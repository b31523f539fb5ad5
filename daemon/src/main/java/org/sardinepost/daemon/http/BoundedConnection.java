package org.sardinepost.daemon.http;

import java.util.Map;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.io.EndPoint;

/** A connection whose responses cannot keep it busy, or fill the heap, beyond the time and size that their requests allow. */
class BoundedConnection extends HttpConnectionOverHTTP {
    BoundedConnection(EndPoint endPoint, Map<String, Object> context) {
        super(endPoint, context);
    }

    @Override
    protected HttpChannelOverHTTP newHttpChannel() {
        return new BoundedChannel(this);
    }
}
