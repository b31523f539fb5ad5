package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;

/** Counts the calls in progress and, after the end of admission, tells when the last one is done. */
public final class CallsInProgress {
    private final CompletableFuture<Void> allDone = new CompletableFuture<>();
    private int count;
    private boolean closed;
    private volatile boolean draining;

    /** Counts a call in; false after {@link #close}. */
    synchronized boolean tryEnter() {
        if (closed) {
            return false;
        }
        count++;
        return true;
    }

    /** Counts the dispatch of an admitted call, which may outlive the call of its caller. */
    synchronized void enterDispatch() {
        count++;
    }

    void leave() {
        if (lastAfterClose()) {
            allDone.complete(null);
        }
    }

    private synchronized boolean lastAfterClose() {
        count--;
        return closed && count == 0;
    }

    /** From now on each answer ends its connection, so that callers move to other daemons. */
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

    /** Admits no further call; the future completes when the last admitted one is done. */
    public CompletableFuture<Void> close() {
        if (closeAndTestEmpty()) {
            allDone.complete(null);
        }
        return allDone;
    }

    private synchronized boolean closeAndTestEmpty() {
        closed = true;
        return count == 0;
    }
}
