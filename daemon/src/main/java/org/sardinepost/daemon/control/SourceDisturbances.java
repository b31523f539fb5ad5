package org.sardinepost.daemon.control;

import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Collects the evidence that the source was disturbed, after which entries may be missing from its VM list.
 *
 * <p>Each daemon believes its own reads. Its peers are only told what the source itself has said, by an error response or
 * by the loss of its history, because an unanswered read can have its cause at the reading daemon. A slow read is no
 * evidence: it loses no entries, and most often the daemon itself was slow.
 */
final class SourceDisturbances {
    private final LongConsumer listener;
    private Optional<Long> lastCertainNanos = Optional.empty();

    /** Creates a collection that passes the time of each disturbance to the listener. */
    SourceDisturbances(LongConsumer listener) {
        this.listener = listener;
    }

    void readFailed(Throwable cause, long nowNanos) {
        record(nowNanos, cause instanceof SourceException);
    }

    void historyLost(long nowNanos) {
        record(nowNanos, true);
    }

    void reportedByPeer(long disturbedNanos) {
        record(disturbedNanos, true);
    }

    /** Returns the time of the last disturbance that the source itself has shown. */
    Optional<Long> lastCertainNanos() {
        return lastCertainNanos;
    }

    private void record(long disturbedNanos, boolean certain) {
        listener.accept(disturbedNanos);
        if (certain
                && lastCertainNanos
                        .filter(previous -> previous - disturbedNanos >= 0)
                        .isEmpty()) {
            lastCertainNanos = Optional.of(disturbedNanos);
        }
    }
}
