package org.sardinepost.daemon.call;

import java.util.Optional;
import org.sardinepost.core.call.CallContext;

/**
 * A call that was admitted, with its whole request.
 *
 * @param target the called service and its dispatcher
 * @param request the held request with the headers of the caller
 * @param context what came with the call
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 * @param idempotent whether the request may run more than once
 * @param forwardedBy the daemon that forwarded the request, from {@code Sardinepost-Forwarded}
 */
public record Call(
        RegisteredService target,
        HeldRequest request,
        CallContext context,
        long deadlineNanos,
        boolean idempotent,
        Optional<String> forwardedBy) {}
