package org.sardinepost.core.admission;

import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;

/** A call that is queued until an upstream has capacity. */
public final class QueuedCall {
    private final DispatchRequest request;
    private final CompletableFuture<Dispatch> future;
    private final boolean serviceTimeTrial;
    private boolean queued;

    public QueuedCall(DispatchRequest request, CompletableFuture<Dispatch> future) {
        this(request, future, false);
    }

    private QueuedCall(DispatchRequest request, CompletableFuture<Dispatch> future, boolean serviceTimeTrial) {
        this.request = request;
        this.future = future;
        this.serviceTimeTrial = serviceTimeTrial;
    }

    /** Creates a call that is sent to measure the service time of its kind, whatever the typical one is. */
    public static QueuedCall serviceTimeTrial(DispatchRequest request, CompletableFuture<Dispatch> future) {
        return new QueuedCall(request, future, true);
    }

    public DispatchRequest request() {
        return request;
    }

    public CompletableFuture<Dispatch> future() {
        return future;
    }

    public boolean serviceTimeTrial() {
        return serviceTimeTrial;
    }

    boolean queued() {
        return queued;
    }

    void setQueued(boolean value) {
        queued = value;
    }
}
