package org.sardinepost.core.token;

import java.util.Optional;

/** The table's record of one token. Guarded by the lock of its table. */
final class TokenEntry {
    private final long sequence;
    private final long issuedAtNanos;
    private final long expiresAtNanos;
    private int generation;
    private Optional<RequestFingerprint> fingerprint;
    private EntryState state;

    /**
     * An entry.
     *
     * @param issuedAtNanos issue time on the issuer's clock, as signed in the token
     * @param expiresAtNanos expiry on the clock of the daemon that holds the entry
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

    long nanosLeft(long nowNanos) {
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

    /** A token in progress never expires: its outcome is still to be recorded. */
    boolean expired(long nowNanos) {
        return nanosLeft(nowNanos) <= 0 && !inProgress();
    }

    boolean belongsTo(RequestFingerprint request) {
        return fingerprint.isEmpty() || fingerprint.get().equals(request);
    }

    void bind(RequestFingerprint request) {
        fingerprint = Optional.of(request);
    }

    void become(EntryState next) {
        state = next;
    }

    void renew() {
        generation++;
    }
}
