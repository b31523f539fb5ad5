package org.sardinepost.daemon.call;

import java.util.Optional;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;

/**
 * The connection of one request: detects that an HTTP/1 caller disconnects and finds the requests that it sends ahead. With
 * HTTP/2 the server does both itself.
 */
final class CallerConnection {
    private final Optional<CallerEndPoint> endPoint;
    /** Has HTTP/2 connections as well. */
    private final Optional<CallerEndPoint> accounted;

    CallerConnection(Request request) {
        EndPoint connected = request.getConnectionMetaData().getConnection().getEndPoint();
        HttpVersion version = request.getConnectionMetaData().getHttpVersion();
        boolean isHttp1 = version.getVersion() < HttpVersion.HTTP_2.getVersion();
        this.accounted = connected instanceof CallerEndPoint caller ? Optional.of(caller) : Optional.empty();
        this.endPoint = accounted.filter(caller -> isHttp1);
    }

    /** Returns the account of the connection. */
    ConnectionAccount account(CallDependencies dependencies) {
        return accounted
                .map(CallerEndPoint::account)
                .orElseGet(() -> new ConnectionAccount(dependencies.heldBytes(), dependencies.now()));
    }

    boolean mayAdmit() {
        return accounted.map(CallerEndPoint::mayAdmit).orElse(true);
    }

    void callBegan() {
        accounted.ifPresent(CallerEndPoint::callBegan);
    }

    /** Records that the response is ready to be written, after which the call ends. */
    void responseBegan() {
        accounted.ifPresent(CallerEndPoint::responseBegan);
    }

    void callEnded() {
        accounted.ifPresent(CallerEndPoint::callEnded);
    }

    /** Returns the turn of this request, with its call if it was dispatched while the caller waited for earlier responses. */
    PipelineTurn claim(RequestHead head) {
        endPoint.ifPresent(CallerEndPoint::requestBegan);
        return endPoint.map(caller -> caller.pipeline().claim(head)).orElse(PipelineTurn.UNDISPATCHED);
    }

    /** Watches the connection until {@link #stopWatching}, and dispatches idempotent requests that are sent ahead. */
    void watch(CallDependencies dependencies, RequestHead head, Runnable onDisconnect) {
        endPoint.ifPresent(
                caller -> caller.watch(onDisconnect, heads -> caller.pipeline().dispatch(dependencies, head, heads)));
    }

    /**
     * Dispatches no further requests ahead. Returns whether the connection may close after the current response: not while
     * requests behind it are running, as their callers would get no response.
     */
    boolean endPipeline() {
        return endPoint.map(caller -> caller.pipeline().endUnlessRunning()).orElse(true);
    }

    /**
     * Ends the watch.
     *
     * @param requestRead whether the server has read the whole request
     */
    void stopWatching(boolean requestRead) {
        endPoint.ifPresent(caller -> caller.unwatch(requestRead));
    }

    /** Returns whether the request arrived before the response to an earlier one of the connection was ready. */
    boolean sentAhead() {
        return endPoint.map(CallerEndPoint::sentAhead).orElse(false);
    }

    /**
     * Delays the requests behind the current one if it was refused with 503. Must be called before the response is written.
     * Returns whether they are delayed.
     */
    boolean paceRequestsBehind(boolean refused) {
        return endPoint.map(caller -> caller.paceRequestsBehind(refused)).orElse(false);
    }
}
