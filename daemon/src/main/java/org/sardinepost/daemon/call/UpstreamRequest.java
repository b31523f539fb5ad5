package org.sardinepost.daemon.call;

import java.net.URI;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;
import org.sardinepost.core.routing.UpstreamId;

/** A request with its method as the caller sent it; Jetty's request converts methods to upper case. */
final class UpstreamRequest extends HttpRequest {
    private final String method;

    UpstreamRequest(HttpClient client, UpstreamId upstream, String method) {
        super(client, new HttpConversation(), URI.create("http://" + upstream));
        this.method = method;
    }

    @Override
    public String getMethod() {
        return method;
    }
}
