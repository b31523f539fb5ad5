package org.sardinepost.daemon.http;

import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.internal.HttpConnection;

/** An HTTP/1 connection that uses {@link StrictHttpParser}. */
final class StrictHttpConnection extends HttpConnection {
    /** Set during the superclass constructor; an initializer at this field would overwrite the value. */
    @SuppressWarnings("UnusedVariable")
    private RequestHandler handler;

    StrictHttpConnection(HttpConfiguration configuration, Connector connector, EndPoint endPoint) {
        super(configuration, connector, endPoint);
    }

    @Override
    protected RequestHandler newRequestHandler() {
        handler = super.newRequestHandler();
        return handler;
    }

    @Override
    protected HttpParser newHttpParser(HttpCompliance compliance) {
        HttpConfiguration configuration = getHttpConfiguration();
        HttpParser parser = new StrictHttpParser(handler, configuration.getRequestHeaderSize(), compliance);
        parser.setHeaderCacheSize(configuration.getHeaderCacheSize());
        parser.setHeaderCacheCaseSensitive(configuration.isHeaderCacheCaseSensitive());
        return parser;
    }
}
