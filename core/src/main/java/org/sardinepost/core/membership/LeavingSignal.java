package org.sardinepost.core.membership;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** How a daemon learned that an upstream is leaving. */
public enum LeavingSignal {
    ANSWER_HEADER(TimeUnit.MINUTES.toMillis(10)),
    VM_LIST(TimeUnit.MINUTES.toMillis(10)),
    /**
     * A refused connection also means a restart at the same address, which no VM list may ever show; the next attempt after
     * the hold renews the mark at the price of one connection attempt.
     */
    REFUSED_CONNECTION(TimeUnit.SECONDS.toMillis(10));

    private final long holdMillis;

    LeavingSignal(long holdMillis) {
        this.holdMillis = holdMillis;
    }

    /** How long the mark stands against a VM list that still shows the VM as live. */
    public long holdMillis() {
        return holdMillis;
    }

    /** The name in metrics and docs: lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
