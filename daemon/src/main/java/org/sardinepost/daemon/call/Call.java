package org.sardinepost.daemon.call;

import java.util.Optional;
import org.sardinepost.core.call.CallContext;
import org.sardinepost.daemon.log.CallRecord;

/**
 * An admitted call with its complete request.
 *
 * @param destination the called service, its dispatcher and the rules of the route
 * @param request the buffered request with the headers of the caller
 * @param context the calling service, depth and attempts that the request states
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 * @param latencyTargetNanos the time by which the response should be sent, on the monotonic clock
 * @param idempotent whether the request may be executed more than once
 * @param maxAttempts how often the request may be sent to an upstream
 * @param forwardedBy the daemon that forwarded the request, from {@code Sardinepost-Forwarded}
 * @param sentAhead whether the request arrived before the response to an earlier one of its connection was ready
 * @param record the log record of the call
 */
public record Call(
        CallDestination destination,
        BufferedRequest request,
        CallContext context,
        long deadlineNanos,
        long latencyTargetNanos,
        boolean idempotent,
        int maxAttempts,
        Optional<String> forwardedBy,
        boolean sentAhead,
        CallRecord record) {}
