package org.sardinepost.daemon;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.api.server.ServerSessionListener;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.http2.frames.ResetFrame;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.http2.server.internal.HTTP2ServerConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.util.Callback;
import org.sardinepost.daemon.call.CallerEndPoint;

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

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        Connection connection = super.newConnection(connector, endPoint);
        if (endPoint instanceof CallerEndPoint caller && connection instanceof HTTP2ServerConnection http2) {
            // Jetty would keep the objects of as many requests as the connection has ever had at a time.
            http2.setRecycleHttpChannels(false);
            caller.boundFramesOf(http2.getSession());
        }
        return connection;
    }

    /** Returns null, which declines, unless the connection begins with the preface of HTTP/2. */
    @Override
    public Connection upgradeConnection(
            Connector connector, EndPoint endPoint, MetaData.Request request, HttpFields.Mutable response101) {
        return HttpMethod.PRI.is(request.getMethod())
                ? super.upgradeConnection(connector, endPoint, request, response101)
                : null;
    }

    @Override
    protected ServerSessionListener newSessionListener(Connector connector, EndPoint endPoint) {
        return endPoint instanceof CallerEndPoint caller
                ? new StreamAdmission(caller)
                : super.newSessionListener(connector, endPoint);
    }

    /** Refuses streams before the objects of a request are allocated for them. */
    private final class StreamAdmission extends HTTPServerSessionListener {
        private final CallerEndPoint caller;

        StreamAdmission(CallerEndPoint caller) {
            super(caller);
            this.caller = caller;
        }

        @Override
        public Stream.Listener onNewStream(Stream stream, HeadersFrame frame) {
            if (caller.tryOpenStream()) {
                return super.onNewStream(stream, frame);
            }
            stream.reset(new ResetFrame(stream.getId(), ErrorCode.REFUSED_STREAM_ERROR.code), Callback.NOOP);
            return null;
        }

        @Override
        public void onClosed(Stream stream) {
            super.onClosed(stream);
            caller.streamClosed();
        }
    }
}
