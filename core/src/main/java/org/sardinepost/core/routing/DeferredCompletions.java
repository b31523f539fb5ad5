package org.sardinepost.core.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.admission.QueuedCall;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/**
 * What a dispatcher decided about waiting calls under its lock, to be told after the lock is released.
 *
 * <p>Callbacks of the futures may call the dispatcher again.
 */
final class DeferredCompletions {
    private final Map<QueuedCall, Dispatch> granted = new LinkedHashMap<>(0);
    private final Map<QueuedCall, RefusedException> refused = new LinkedHashMap<>(0);
    private final List<Runnable> afterwards = new ArrayList<>(0);

    void granted(QueuedCall call, Dispatch place) {
        granted.put(call, place);
    }

    void refused(QueuedCall call, RefusedException refusal) {
        refused.put(call, refusal);
    }

    /** The deadlines of these calls passed. */
    void expired(List<QueuedCall> calls) {
        calls.forEach(call -> refused(
                call,
                new RefusedException(RefusalReason.DEADLINE_TOO_SHORT, "the deadline passed while the call waited")));
    }

    /** Adds something to be done after the futures are complete. */
    void afterwards(Runnable action) {
        afterwards.add(action);
    }

    /** Completes the futures; places of calls that were given up in the meantime are released. */
    void run(long nowNanos) {
        granted.forEach((call, place) -> {
            if (!call.future().complete(place)) {
                place.finished(DispatchResult.of(DispatchResult.Kind.CANCELLED), nowNanos);
            }
        });
        refused.forEach((call, refusal) -> call.future().completeExceptionally(refusal));
        afterwards.forEach(Runnable::run);
    }
}
