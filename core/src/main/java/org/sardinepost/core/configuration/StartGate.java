package org.sardinepost.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Keeps a started daemon from serving until it asked its peers for their highest version.
 *
 * <p>A daemon has no disk. When the configuration service is stale, only its peers know which version was in force before
 * the restart.
 */
public final class StartGate {
    /** A daemon that no peer answers becomes ready after this time, since it may be the only one left. */
    public static final long LIMIT_MILLIS = 5_000;

    /** Time that the remaining peers have after the first answer, so that one dead peer does not delay each start to the limit. */
    public static final long AFTER_FIRST_ANSWER_MILLIS = 1_000;

    private final long startNanos;
    private final Map<UpstreamId, Long> answers = new HashMap<>();
    private long firstAnswerNanos;
    private StartDecision decision = StartDecision.WAITING;

    public StartGate(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Records the version that a peer holds; 0 for none. */
    public void answered(UpstreamId peer, long version, long nowNanos) {
        if (answers.isEmpty()) {
            firstAnswerNanos = nowNanos;
        }
        answers.merge(peer, version, Math::max);
    }

    /**
     * Decides; once ready, the gate stays open.
     *
     * @param peers the peers to ask
     * @param peersKnown whether all sources of peers were read
     * @param heldVersion the version in force; 0 for none
     */
    public StartDecision decide(Set<UpstreamId> peers, boolean peersKnown, long heldVersion, long nowNanos) {
        if (decision != StartDecision.WAITING || heldVersion == 0) {
            return decision;
        }
        if (asked(peers, peersKnown, nowNanos) && heldVersion >= highestAnswer()) {
            decision = StartDecision.READY;
        } else if (elapsedMillis(startNanos, nowNanos) >= LIMIT_MILLIS) {
            decision = StartDecision.READY_UNPROVEN;
        }
        return decision;
    }

    private boolean asked(Set<UpstreamId> peers, boolean peersKnown, long nowNanos) {
        if (peersKnown && answers.keySet().containsAll(peers)) {
            return true;
        }
        return !answers.isEmpty() && elapsedMillis(firstAnswerNanos, nowNanos) >= AFTER_FIRST_ANSWER_MILLIS;
    }

    private long highestAnswer() {
        return answers.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    private static long elapsedMillis(long sinceNanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
    }
}
