package org.sardinepost.daemon.call;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.sardinepost.core.clients.ConnectionLoad;

/** The part of one connection in the memory account, and whether its client makes progress. Thread-safe. */
final class ConnectionAccount {
    private final HeldBytes heldBytes;
    private final ClientProgress progress;
    private final AtomicLong bodyBytes = new AtomicLong();
    private final AtomicLong callBytes = new AtomicLong();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile long lastUsedNanos;

    ConnectionAccount(HeldBytes heldBytes, long nowNanos) {
        this.heldBytes = heldBytes;
        this.progress = new ClientProgress();
        this.lastUsedNanos = nowNanos;
    }

    ClientProgress progress() {
        return progress;
    }

    /** Adds bytes that are reserved for a body, or subtracts them. */
    void addBody(long bytes) {
        bodyBytes.addAndGet(bytes);
    }

    /** Adds other memory of calls to the account, or subtracts it. */
    void addForCalls(long bytes) {
        if (bytes != 0) {
            callBytes.addAndGet(bytes);
            heldBytes.addForCalls(bytes);
        }
    }

    void callBegan() {
        calls.incrementAndGet();
    }

    void callEnded(long nowNanos) {
        lastUsedNanos = nowNanos;
        calls.decrementAndGet();
    }

    boolean hasCalls() {
        return calls.get() > 0;
    }

    <C> ConnectionLoad<C> load(C connection) {
        OptionalLong waitingSince = progress.waitingSinceNanos();
        return new ConnectionLoad<>(
                connection, bodyBytes.get(), callBytes.get(), calls.get(), waitingSince, lastUsedNanos);
    }
}
