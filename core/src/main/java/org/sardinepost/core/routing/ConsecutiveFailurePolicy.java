package org.sardinepost.core.routing;

/**
 * Decides how many failures in a row eject an upstream.
 *
 * <p>Where the other upstreams do not fail, one failure is enough: a server that fails every call quickly would otherwise
 * take the share of several. Where requests fail everywhere, for example because they are wrong themselves, failures in a
 * row occur by chance and more are needed. Not thread-safe.
 */
final class ConsecutiveFailurePolicy {
    private static final double SMOOTHING = 0.05;
    private static final double CHANCE = 0.01;

    /** Above this share, ejecting by chance costs more than a faulty upstream that is found a few calls later. */
    private static final double COMMON = 0.1;

    private static final double CHANCE_IF_COMMON = 0.001;

    /** Reached where seven of ten calls fail everywhere; an upstream that fails every call is still found. */
    private static final int MAX_IN_A_ROW = 20;

    private double sumOfShares;

    /** The failure share of an upstream after one more call; also updates the sum over all upstreams. */
    double update(double share, boolean failed) {
        double updated = share + SMOOTHING * ((failed ? 1 : 0) - share);
        sumOfShares += updated - share;
        return updated;
    }

    void remove(double share) {
        sumOfShares = Math.max(0, sumOfShares - share);
    }

    /** The number of failures in a row that eject an upstream with this failure share. */
    int failuresInARow(double share, int upstreams) {
        double othersShare = upstreams < 2 ? 0 : Math.max(0, sumOfShares - share) / (upstreams - 1);
        if (othersShare <= CHANCE) {
            return 1;
        }
        if (othersShare >= 1) {
            return MAX_IN_A_ROW;
        }
        double chance = othersShare > COMMON ? CHANCE_IF_COMMON : CHANCE;
        return (int) Math.min(MAX_IN_A_ROW, Math.ceil(Math.log(chance) / Math.log(othersShare)));
    }
}
