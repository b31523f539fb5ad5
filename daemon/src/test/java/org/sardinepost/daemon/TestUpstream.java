package org.sardinepost.daemon;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** An in-process upstream that records the requests it receives. */
final class TestUpstream extends Handler.Abstract implements AutoCloseable {
    /** Handles a request to the upstream. */
    interface RequestHandler {
        void respond(Request request, String body, Response response, Callback callback) throws Exception;
    }

    private static final int MAX_HEADER_BYTES = 64 << 10;

    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private final RequestHandler requestHandler;
    private final List<Request> requests = new CopyOnWriteArrayList<>();

    TestUpstream(RequestHandler requestHandler) throws Exception {
        this(requestHandler, 0);
    }

    TestUpstream(RequestHandler requestHandler, int port) throws Exception {
        connector.setPort(port);
        this.requestHandler = requestHandler;
        connector.setHost("127.0.0.1");
        HttpConfiguration httpConfig =
                connector.getConnectionFactory(HttpConnectionFactory.class).getHttpConfiguration();
        httpConfig.setUriCompliance(UriCompliance.UNSAFE);
        httpConfig.setRequestHeaderSize(MAX_HEADER_BYTES);
        httpConfig.setMaxResponseHeaderSize(MAX_HEADER_BYTES);
        server.addConnector(connector);
        server.setHandler(this);
        server.start();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        requests.add(request);
        requestHandler.respond(request, Content.Source.asString(request), response, callback);
        return true;
    }

    List<Request> requests() {
        return requests;
    }

    Upstream upstream() {
        return new Upstream(new UpstreamId("127.0.0.1", connector.getLocalPort()), "test-1");
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
