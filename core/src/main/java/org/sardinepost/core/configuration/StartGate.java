package org.sardinepost.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Prevents a daemon from serving after startup until it holds the highest version that its peers report, or
 * until the maximum wait has passed.
 *
 * <p>A daemon has no persistent storage. If the configuration service is stale, only the peers know which version was
 * active before the restart.
 */
public final class StartGate {
    /**
     * A daemon without confirmation from its peers becomes ready after this time, because it may be the only one
     * running.
     */
    public static final long MAX_WAIT_MILLIS = 5_000;

    /**
     * Time to wait for the remaining peers after the first response, so that one unavailable peer does not delay each
     * startup by the maximum wait.
     */
    public static final long REMAINING_PEERS_WAIT_MILLIS = 1_000;

    private final long startNanos;
    private final Map<UpstreamId, Long> versionByPeer = new HashMap<>();
    private long firstResponseNanos;
    private StartDecision decision = StartDecision.WAITING;

    public StartGate(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Records the version that a peer holds; 0 if it has none. */
    public void recordResponse(UpstreamId peer, long version, long nowNanos) {
        if (versionByPeer.isEmpty()) {
            firstResponseNanos = nowNanos;
        }
        versionByPeer.merge(peer, version, Math::max);
    }

    /**
     * Decides whether the daemon may serve. The decision is final once the daemon is ready.
     *
     * @param peers the peers that should report their version
     * @param peersKnown whether all sources of peer addresses have been read
     * @param heldVersion the active version; 0 if there is none
     */
    public StartDecision decide(Set<UpstreamId> peers, boolean peersKnown, long heldVersion, long nowNanos) {
        if (decision != StartDecision.WAITING || heldVersion == 0) {
            return decision;
        }
        if (hasWaitedForPeers(peers, peersKnown, nowNanos) && heldVersion >= highestPeerVersion()) {
            decision = StartDecision.READY;
        } else if (elapsedMillis(startNanos, nowNanos) >= MAX_WAIT_MILLIS) {
            decision = StartDecision.READY_UNPROVEN;
        }
        return decision;
    }

    private boolean hasWaitedForPeers(Set<UpstreamId> peers, boolean peersKnown, long nowNanos) {
        if (peersKnown && versionByPeer.keySet().containsAll(peers)) {
            return true;
        }
        return !versionByPeer.isEmpty() && elapsedMillis(firstResponseNanos, nowNanos) >= REMAINING_PEERS_WAIT_MILLIS;
    }

    private long highestPeerVersion() {
        return versionByPeer.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    private static long elapsedMillis(long sinceNanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
    }
}
