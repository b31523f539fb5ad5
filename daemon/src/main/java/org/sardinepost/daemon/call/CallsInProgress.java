package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;

/** Counts the calls in progress and signals the end of the last one after {@link #close}. */
public final class CallsInProgress {
    private final CompletableFuture<Void> allDone = new CompletableFuture<>();
    private int count;
    private boolean closed;
    private volatile boolean draining;

    /** Adds a call; returns false without adding it after {@link #close}. */
    synchronized boolean tryBegin() {
        if (closed) {
            return false;
        }
        count++;
        return true;
    }

    /** Adds the response to a call that is refused after {@link #close}, so that the process does not exit before it. */
    synchronized void beginRefusal() {
        count++;
    }

    /** Adds the dispatch of an admitted call, which may outlive the call of its caller. */
    synchronized void beginDispatch() {
        count++;
    }

    void finish() {
        if (decrementAndCheckDone()) {
            allDone.complete(null);
        }
    }

    private synchronized boolean decrementAndCheckDone() {
        count--;
        return closed && count == 0;
    }

    /** Makes every further response close its connection, so that callers reconnect to other daemons. */
    public void startDraining() {
        draining = true;
    }

    boolean draining() {
        return draining;
    }

    public synchronized boolean closed() {
        return closed;
    }

    public synchronized int count() {
        return count;
    }

    /** Stops the admission of calls. The future completes when the last admitted call has ended. */
    public CompletableFuture<Void> close() {
        if (closeAndCheckDone()) {
            allDone.complete(null);
        }
        return allDone;
    }

    private synchronized boolean closeAndCheckDone() {
        closed = true;
        return count == 0;
    }
}
