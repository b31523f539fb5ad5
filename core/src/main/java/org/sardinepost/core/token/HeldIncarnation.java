package org.sardinepost.core.token;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The token entries of one daemon incarnation: the daemon's own or an adopted one. Not thread-safe: guarded by the lock
 * of the {@link TokenTable}.
 */
final class HeldIncarnation {
    private final TokenIssuer issuer;
    private final Map<Long, TokenEntry> entries = new HashMap<>();
    private final Deque<TokenEntry> entriesByExpiry = new ArrayDeque<>();
    private long nextSequence;
    private boolean handedOver;

    HeldIncarnation(TokenIssuer issuer) {
        this.issuer = issuer;
    }

    TokenIssuer issuer() {
        return issuer;
    }

    int size() {
        return entries.size();
    }

    Optional<TokenEntry> entry(long sequence) {
        return Optional.ofNullable(entries.get(sequence));
    }

    List<TokenEntry> entriesByExpiry() {
        return List.copyOf(entriesByExpiry);
    }

    /** Adds an entry. Entries must be added in ascending order of expiry. */
    void add(TokenEntry entry) {
        entries.put(entry.sequence(), entry);
        entriesByExpiry.add(entry);
    }

    IdempotencyToken issue(long nowNanos, long lifetimeNanos) {
        long sequence = nextSequence++;
        add(new TokenEntry(sequence, nowNanos, nowNanos + lifetimeNanos, 0, Optional.empty(), new EntryState.Fresh()));
        return issuer.sign(nowNanos, sequence, 0);
    }

    IdempotencyToken token(TokenEntry entry) {
        return issuer.sign(entry.issuedAtNanos(), entry.sequence(), entry.generation());
    }

    /** Removes expired entries. Entries in progress are kept and checked again on the next call. */
    void removeExpired(long nowNanos, ResponseBudget responseBudget) {
        Deque<TokenEntry> inProgress = new ArrayDeque<>();
        while (!entriesByExpiry.isEmpty() && entriesByExpiry.peek().remainingNanos(nowNanos) <= 0) {
            TokenEntry entry = entriesByExpiry.remove();
            if (entry.inProgress()) {
                inProgress.push(entry);
            } else {
                remove(entry, responseBudget);
            }
        }
        inProgress.forEach(entriesByExpiry::addFirst);
    }

    private void remove(TokenEntry entry, ResponseBudget responseBudget) {
        responseBudget.release(entry.state().chargedBytes());
        entries.remove(entry.sequence());
    }

    void markHandedOver() {
        handedOver = true;
    }

    boolean handedOver() {
        return handedOver;
    }
}
