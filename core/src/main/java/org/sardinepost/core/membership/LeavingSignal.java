package org.sardinepost.core.membership;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The signal by which a daemon detected that an upstream is leaving. */
public enum LeavingSignal {
    ANSWER_HEADER(TimeUnit.MINUTES.toMillis(10)),
    VM_LIST(TimeUnit.MINUTES.toMillis(10)),
    /**
     * The connection was refused. The upstream may only be restarting at the same address, which the VM list may never
     * show, so the mark expires early. If the upstream is still down, the next attempt renews the mark at the cost of
     * one connection attempt.
     */
    REFUSED_CONNECTION(TimeUnit.SECONDS.toMillis(10));

    private final long markLifetimeMillis;

    LeavingSignal(long markLifetimeMillis) {
        this.markLifetimeMillis = markLifetimeMillis;
    }

    /** Returns how long the mark overrides a VM list that still shows the upstream as live. */
    public long markLifetimeMillis() {
        return markLifetimeMillis;
    }

    /** Returns the name used in metrics and docs, in lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
