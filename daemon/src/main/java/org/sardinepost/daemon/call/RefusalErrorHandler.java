package org.sardinepost.daemon.call;

import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.daemon.metrics.CallMetrics;

/** Responds to requests that the HTTP parser rejected, in the format of the other refusals of the daemon. */
public final class RefusalErrorHandler extends ErrorHandler {
    private final CallMetrics metrics;

    public RefusalErrorHandler(CallMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        int status = response.getStatus();
        RefusalReason reason = reason(status);
        metrics.refused(reason);
        String detail = Optional.ofNullable(request.getAttribute(ERROR_MESSAGE))
                .map(Object::toString)
                .orElse(HttpStatus.getMessage(status));
        BufferedResponse bufferedResponse = LocalResponses.of(new RefusedException(reason, detail));
        ResponseWriter.write(
                new BufferedResponse(status, bufferedResponse.headers(), bufferedResponse.body()),
                request,
                response,
                callback);
        return true;
    }

    /**
     * Returns the refusal reason for a status. The parser rejects requests before any dispatch, whereas a server error
     * may occur after one.
     */
    private static RefusalReason reason(int status) {
        if (HttpStatus.isServerError(status) && status != HttpStatus.HTTP_VERSION_NOT_SUPPORTED_505) {
            return RefusalReason.UPSTREAM_FAILED;
        }
        boolean isTooLarge = status == HttpStatus.PAYLOAD_TOO_LARGE_413
                || status == HttpStatus.URI_TOO_LONG_414
                || status == HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431;
        return isTooLarge ? RefusalReason.REQUEST_TOO_LARGE : RefusalReason.MALFORMED_REQUEST;
    }
}
