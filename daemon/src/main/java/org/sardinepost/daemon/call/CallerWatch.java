package org.sardinepost.daemon.call;

import java.util.Optional;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;

/** Notices that the caller went away. With HTTP/2 the server reports that by itself. */
final class CallerWatch {
    private final Optional<CallerEndPoint> connection;

    CallerWatch(Request request) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        HttpVersion version = request.getConnectionMetaData().getHttpVersion();
        boolean oneCallAtATime = version.getVersion() < HttpVersion.HTTP_2.getVersion();
        this.connection =
                oneCallAtATime && endPoint instanceof CallerEndPoint caller ? Optional.of(caller) : Optional.empty();
    }

    void start(Runnable onGone) {
        connection.ifPresent(caller -> caller.watch(onGone));
    }

    void stop() {
        connection.ifPresent(CallerEndPoint::unwatch);
    }
}
