package org.sardinepost.daemon.call;

import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.ReportedLoad;

/** What the status and headers of an upstream's answer say about the request and the upstream. */
final class AnswerSigns {
    private AnswerSigns() {}

    /** Whether the upstream refused before it started the request. */
    static boolean refusedBeforeStart(HeldAnswer answer) {
        return answer.status() == HttpStatus.SERVICE_UNAVAILABLE_503
                && "1".equals(answer.headers().get(CallHeaders.NOT_RUN))
                && !failedDeeperDown(answer);
    }

    /** Whether the upstream passes on the answer of a daemon to one of its own calls; that daemon already retried. */
    static boolean failedDeeperDown(HeldAnswer answer) {
        return answer.headers().contains(CallHeaders.OUTCOME);
    }

    /** Whether the answer stands for an upstream that cannot serve now. */
    static boolean unavailable(HeldAnswer answer) {
        return answer.status() == HttpStatus.BAD_GATEWAY_502
                || answer.status() == HttpStatus.SERVICE_UNAVAILABLE_503
                || answer.status() == HttpStatus.GATEWAY_TIMEOUT_504;
    }

    static DispatchResult result(HeldAnswer answer) {
        Optional<ReportedLoad> load =
                Optional.ofNullable(answer.headers().get(CallHeaders.LOAD)).flatMap(ReportedLoad::parse);
        boolean leaving = "1".equals(answer.headers().get(CallHeaders.DRAINING));
        return new DispatchResult(kind(answer), load, leaving);
    }

    private static DispatchResult.Kind kind(HeldAnswer answer) {
        if (refusedBeforeStart(answer)) {
            return DispatchResult.Kind.REFUSED;
        }
        return HttpStatus.isServerError(answer.status()) ? DispatchResult.Kind.FAILED : DispatchResult.Kind.ANSWERED;
    }
}
