package org.sardinepost.core.token;

import java.util.Optional;

/** The state of one token. Not thread-safe: guarded by the lock of the {@link TokenTable}. */
final class TokenEntry {
    private final long sequence;
    private final long issuedAtNanos;
    private final long expiresAtNanos;
    private int generation;
    private Optional<RequestFingerprint> fingerprint;
    private EntryState state;

    /**
     * Creates an entry.
     *
     * @param issuedAtNanos issue time on the issuer's monotonic clock, as signed in the token
     * @param expiresAtNanos expiry on the monotonic clock of the daemon that holds the entry
     */
    TokenEntry(
            long sequence,
            long issuedAtNanos,
            long expiresAtNanos,
            int generation,
            Optional<RequestFingerprint> fingerprint,
            EntryState state) {
        this.sequence = sequence;
        this.issuedAtNanos = issuedAtNanos;
        this.expiresAtNanos = expiresAtNanos;
        this.generation = generation;
        this.fingerprint = fingerprint;
        this.state = state;
    }

    long sequence() {
        return sequence;
    }

    long issuedAtNanos() {
        return issuedAtNanos;
    }

    long remainingNanos(long nowNanos) {
        return expiresAtNanos - nowNanos;
    }

    int generation() {
        return generation;
    }

    Optional<RequestFingerprint> fingerprint() {
        return fingerprint;
    }

    EntryState state() {
        return state;
    }

    boolean inProgress() {
        return state instanceof EntryState.InProgress;
    }

    /**
     * Returns whether the token has expired. A token in progress does not expire, because its outcome must still be
     * recorded.
     */
    boolean expired(long nowNanos) {
        return remainingNanos(nowNanos) <= 0 && !inProgress();
    }

    boolean belongsTo(RequestFingerprint request) {
        return fingerprint.isEmpty() || fingerprint.get().equals(request);
    }

    void bind(RequestFingerprint request) {
        fingerprint = Optional.of(request);
    }

    void setState(EntryState next) {
        state = next;
    }

    void renew() {
        generation++;
    }
}
