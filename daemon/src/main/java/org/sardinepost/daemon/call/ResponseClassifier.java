package org.sardinepost.daemon.call;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.sardinepost.core.call.RetryAfter;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.ReportedLoad;

/** Derives the state of the request and of the upstream from the status and headers of a response. */
final class ResponseClassifier {
    private ResponseClassifier() {}

    /** Returns whether the upstream rejected the request before executing it. */
    static boolean rejectedBeforeExecution(BufferedResponse response) {
        return response.status() == HttpStatus.SERVICE_UNAVAILABLE_503
                && "1".equals(response.headers().get(CallHeaders.NOT_RUN))
                && !relaysDaemonResponse(response);
    }

    /**
     * Returns whether the upstream relays the response of a daemon to a nested call, which that daemon has already
     * retried.
     */
    static boolean relaysDaemonResponse(BufferedResponse response) {
        return response.headers().contains(CallHeaders.OUTCOME);
    }

    /** Returns whether the status says that the upstream cannot serve requests at the moment. */
    static boolean isUnavailable(BufferedResponse response) {
        return response.status() == HttpStatus.BAD_GATEWAY_502
                || response.status() == HttpStatus.SERVICE_UNAVAILABLE_503
                || response.status() == HttpStatus.GATEWAY_TIMEOUT_504;
    }

    static DispatchResult toDispatchResult(BufferedResponse response) {
        Optional<ReportedLoad> load =
                Optional.ofNullable(response.headers().get(CallHeaders.LOAD)).flatMap(ReportedLoad::parse);
        Optional<Duration> retryAfter =
                relaysDaemonResponse(response) ? Optional.empty() : retryAfter(response.status(), response.headers());
        return new DispatchResult(resultKind(response), load, isDraining(response.headers()), retryAfter);
    }

    /** Returns whether an upstream says that it is leaving. */
    static boolean isDraining(HttpFields headers) {
        return "1".equals(headers.get(CallHeaders.DRAINING));
    }

    /** Returns the time for which an upstream that turned a request away wants no more of them from this daemon. */
    static Optional<Duration> retryAfter(int status, HttpFields headers) {
        String value = headers.get(HttpHeader.RETRY_AFTER);
        if (status != HttpStatus.SERVICE_UNAVAILABLE_503 || value == null) {
            return Optional.empty();
        }
        return RetryAfter.parse(value, Optional.ofNullable(headers.get(HttpHeader.DATE)));
    }

    private static DispatchResult.Kind resultKind(BufferedResponse response) {
        if (rejectedBeforeExecution(response)) {
            return DispatchResult.Kind.REFUSED;
        }
        return HttpStatus.isServerError(response.status()) ? DispatchResult.Kind.FAILED : DispatchResult.Kind.ANSWERED;
    }
}
