package org.sardinepost.core.admission;

import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;

/** A call that is queued until an upstream has capacity. */
public final class QueuedCall {
    private final DispatchRequest request;
    private final CompletableFuture<Dispatch> future;
    private boolean queued;

    public QueuedCall(DispatchRequest request, CompletableFuture<Dispatch> future) {
        this.request = request;
        this.future = future;
    }

    public DispatchRequest request() {
        return request;
    }

    public CompletableFuture<Dispatch> future() {
        return future;
    }

    boolean queued() {
        return queued;
    }

    void setQueued(boolean value) {
        queued = value;
    }
}
