package org.sardinepost.core.call;

import java.util.Optional;
import org.sardinepost.core.text.Service;

/** Decides whether a caller may call a service. */
public final class CallerCheck {
    private CallerCheck() {}

    /**
     * Returns the refusal of a call; empty if the call is allowed.
     *
     * @param called the called service
     * @param context the context received with the call
     * @param calling the configuration of the calling service; empty for a call from outside or an unknown service
     */
    public static Optional<RefusedException> refusal(Service called, CallContext context, Optional<Service> calling) {
        if (context.exceedsMaxDepth()) {
            return Optional.of(new RefusedException(
                    RefusalReason.CALL_TOO_DEEP, "the call has " + context.depth() + " levels of calls above it"));
        }
        if (context.callingService().isEmpty()) {
            return called.external()
                    ? Optional.empty()
                    : refused("service " + called.name() + " takes no calls from outside");
        }
        String caller = context.callingService().get();
        boolean isDependency = calling.map(service -> service.dependsOn().contains(called.name()))
                .orElse(false);
        return isDependency ? Optional.empty() : refused("service " + caller + " does not depend on " + called.name());
    }

    private static Optional<RefusedException> refused(String detail) {
        return Optional.of(new RefusedException(RefusalReason.CALLER_NOT_ALLOWED, detail));
    }
}
