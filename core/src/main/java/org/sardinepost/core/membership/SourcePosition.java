package org.sardinepost.core.membership;

import java.util.Comparator;

/**
 * A position in the history of a source that the daemons read: an epoch and a revision of the source.
 *
 * <p>A source that returns from an older copy of itself gives revisions out again, so a revision alone does not tell which of
 * two states is newer. The daemons count the returns that they detect; the count is the epoch, and all of a later epoch is newer
 * than all of an earlier one. Daemons that detect the same return arrive at the same epoch, since each adds one to the highest
 * that it knows.
 *
 * @param epoch the number of known returns; 0 for a source that never returns from a copy
 * @param revision the revision of the source, which rises within an epoch
 */
public record SourcePosition(long epoch, long revision) implements Comparable<SourcePosition> {
    /** The position of a daemon that has read nothing. */
    public static final SourcePosition ORIGIN = new SourcePosition(0, 0);

    private static final Comparator<SourcePosition> ORDER =
            Comparator.comparingLong(SourcePosition::epoch).thenComparingLong(SourcePosition::revision);

    /** Returns a position in the first epoch, as daemons of releases without epochs send it. */
    public static SourcePosition ofRevision(long revision) {
        return new SourcePosition(0, revision);
    }

    /**
     * Returns the position of a response to a read that began when this was the highest known position.
     *
     * <p>A source never goes back by itself, so a lower revision shows that it has returned from an older copy.
     *
     * @param historyReplaced whether the response showed that changes at known revisions are no longer the same ones
     */
    public SourcePosition afterRead(long newRevision, boolean historyReplaced) {
        boolean returned = historyReplaced || newRevision < revision;
        return new SourcePosition(returned ? epoch + 1 : epoch, newRevision);
    }

    /** Returns the position of another revision in the same epoch. */
    public SourcePosition withRevision(long otherRevision) {
        return new SourcePosition(epoch, otherRevision);
    }

    public boolean precedes(SourcePosition other) {
        return compareTo(other) < 0;
    }

    /** Returns whether a return of the source lies between this position and a later one. */
    public boolean precedesEpochOf(SourcePosition other) {
        return epoch < other.epoch;
    }

    public static SourcePosition later(SourcePosition first, SourcePosition second) {
        return first.precedes(second) ? second : first;
    }

    @Override
    public int compareTo(SourcePosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return epoch == 0 ? Long.toString(revision) : revision + " in epoch " + epoch;
    }
}
