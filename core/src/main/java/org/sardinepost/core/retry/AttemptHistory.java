package org.sardinepost.core.retry;

import java.util.Arrays;

/**
 * The ids of the attempts that were sent on one connection.
 *
 * <p>An upstream may send a second copy of a response late, where the next one is due. The id tells the two apart only if
 * each id is sent at most once on a connection.
 *
 * <p>Not thread-safe: only the exchange that holds the connection uses its history.
 */
public final class AttemptHistory {
    private static final int INITIAL_CAPACITY = 8;

    /** Hash codes take less memory than ids; a collision only makes an attempt use another connection. */
    private int[] hashCodes = new int[INITIAL_CAPACITY];

    private int size;

    /** Returns whether an attempt with this id may have been sent on the connection. */
    public boolean mayContain(String attemptId) {
        int hashCode = attemptId.hashCode();
        for (int i = 0; i < size; i++) {
            if (hashCodes[i] == hashCode) {
                return true;
            }
        }
        return false;
    }

    /** Records that an attempt is sent on the connection; returns false if one with this id may have been sent before. */
    public boolean add(String attemptId) {
        if (mayContain(attemptId)) {
            return false;
        }
        if (size == hashCodes.length) {
            hashCodes = Arrays.copyOf(hashCodes, 2 * size);
        }
        hashCodes[size++] = attemptId.hashCode();
        return true;
    }
}
