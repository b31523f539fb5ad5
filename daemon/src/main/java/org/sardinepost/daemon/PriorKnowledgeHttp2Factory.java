package org.sardinepost.daemon;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;

/**
 * Accepts plaintext HTTP/2 from clients that begin with it.
 *
 * <p>A request to upgrade from HTTP/1.1, which RFC 9113 no longer defines, is served over HTTP/1.1: on connections that Jetty
 * upgrades, clients read body bytes where a frame begins.
 */
final class PriorKnowledgeHttp2Factory extends HTTP2CServerConnectionFactory {
    PriorKnowledgeHttp2Factory(HttpConfiguration httpConfig) {
        super(httpConfig);
    }

    /** Returns null, which declines, unless the connection begins with the preface of HTTP/2. */
    @Override
    public Connection upgradeConnection(
            Connector connector, EndPoint endPoint, MetaData.Request request, HttpFields.Mutable response101) {
        return HttpMethod.PRI.is(request.getMethod())
                ? super.upgradeConnection(connector, endPoint, request, response101)
                : null;
    }
}
