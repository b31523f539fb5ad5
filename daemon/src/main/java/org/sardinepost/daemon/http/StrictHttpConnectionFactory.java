package org.sardinepost.daemon.http;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/** Creates HTTP/1 connections that use {@link StrictHttpParser}. */
public final class StrictHttpConnectionFactory extends HttpConnectionFactory {
    public StrictHttpConnectionFactory(HttpConfiguration configuration) {
        super(configuration);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        StrictHttpConnection connection = new StrictHttpConnection(getHttpConfiguration(), connector, endPoint);
        return configure(connection, connector, endPoint);
    }
}
