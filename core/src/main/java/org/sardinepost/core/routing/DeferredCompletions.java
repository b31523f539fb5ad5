package org.sardinepost.core.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.admission.QueuedCall;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/**
 * Results for queued calls that a dispatcher determined while holding its lock, to be delivered after it releases the
 * lock.
 *
 * <p>The callbacks of the futures may call the dispatcher again.
 */
final class DeferredCompletions {
    private final Map<QueuedCall, Dispatch> granted = new LinkedHashMap<>(0);
    private final Map<QueuedCall, RefusedException> refused = new LinkedHashMap<>(0);
    private final List<Runnable> actions = new ArrayList<>(0);

    void grant(QueuedCall call, Dispatch dispatch) {
        granted.put(call, dispatch);
    }

    void refuse(QueuedCall call, RefusedException refusal) {
        refused.put(call, refusal);
    }

    /** Refuses calls whose deadline has passed. */
    void refuseExpired(List<QueuedCall> calls) {
        calls.forEach(call -> refuse(
                call,
                new RefusedException(
                        RefusalReason.DEADLINE_TOO_SHORT, "the deadline passed while the call was queued")));
    }

    /** Adds an action to run after the futures are completed. */
    void thenRun(Runnable action) {
        actions.add(action);
    }

    /** Completes the futures and releases the dispatches of calls that were cancelled in the meantime. */
    void complete(long nowNanos) {
        granted.forEach((call, dispatch) -> {
            if (!call.future().complete(dispatch)) {
                dispatch.complete(DispatchResult.of(DispatchResult.Kind.CANCELLED), nowNanos);
            }
        });
        refused.forEach((call, refusal) -> call.future().completeExceptionally(refusal));
        actions.forEach(Runnable::run);
    }
}
