package org.sardinepost.core.routing;

/**
 * Whether a placement reuses an idle connection of the calling daemon, and otherwise why not.
 *
 * <p>If the daemon has idle connections to several upstreams, the reason is that of the upstream that was closest to being
 * selected: the last one of this order.
 */
public enum ConnectionUse {
    REUSED("reused"),
    /** The daemon has no idle connection. */
    NONE_IDLE("none-idle"),
    /** The connected upstream has at most its last slot free, or is not open to the call. */
    FULL("full"),
    /** The host of the connected upstream is slowed down. */
    SLOW("slow"),
    /** The last report of the connected upstream is outdated, and another upstream has just reported. */
    OUTDATED("outdated"),
    /** The connected upstream is in another failure domain than the daemon. */
    FAR("far"),
    /** Another upstream had a lower cost in spite of the new connection. */
    COSTLIER("costlier");

    private final String label;

    ConnectionUse(String label) {
        this.label = label;
    }

    /** Returns the value of the metric label. */
    public String label() {
        return label;
    }
}
