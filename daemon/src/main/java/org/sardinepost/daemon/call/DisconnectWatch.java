package org.sardinepost.daemon.call;

import java.util.Optional;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;

/** Detects that an HTTP/1 caller disconnects. With HTTP/2 the server reports this itself. */
final class DisconnectWatch {
    private final Optional<CallerEndPoint> connection;

    DisconnectWatch(Request request) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        HttpVersion version = request.getConnectionMetaData().getHttpVersion();
        boolean isHttp1 = version.getVersion() < HttpVersion.HTTP_2.getVersion();
        this.connection = isHttp1 && endPoint instanceof CallerEndPoint caller ? Optional.of(caller) : Optional.empty();
    }

    void start(Runnable onDisconnect) {
        connection.ifPresent(caller -> caller.watch(onDisconnect));
    }

    void stop() {
        connection.ifPresent(CallerEndPoint::unwatch);
    }
}
