package org.sardinepost.core.token;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The tokens of one incarnation that this daemon answers for. Guarded by the lock of its table. */
final class HeldIncarnation {
    private final TokenIssuer issuer;
    private final Map<Long, TokenEntry> entries = new HashMap<>();
    private final Deque<TokenEntry> byExpiry = new ArrayDeque<>();
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

    List<TokenEntry> all() {
        return List.copyOf(byExpiry);
    }

    /** Entries are added in the order of their expiry. */
    void add(TokenEntry entry) {
        entries.put(entry.sequence(), entry);
        byExpiry.add(entry);
    }

    IdempotencyToken issue(long nowNanos, long lifetimeNanos) {
        long sequence = nextSequence++;
        add(new TokenEntry(sequence, nowNanos, nowNanos + lifetimeNanos, 0, Optional.empty(), new EntryState.Fresh()));
        return issuer.sign(nowNanos, sequence, 0);
    }

    IdempotencyToken token(TokenEntry entry) {
        return issuer.sign(entry.issuedAtNanos(), entry.sequence(), entry.generation());
    }

    /** Removes expired entries. An entry in progress is kept and looked at again on the next call. */
    void removeExpired(long nowNanos, AnswerRoom room) {
        Deque<TokenEntry> inProgress = new ArrayDeque<>();
        while (!byExpiry.isEmpty() && byExpiry.peek().nanosLeft(nowNanos) <= 0) {
            TokenEntry entry = byExpiry.remove();
            if (entry.inProgress()) {
                inProgress.push(entry);
            } else {
                remove(entry, room);
            }
        }
        inProgress.forEach(byExpiry::addFirst);
    }

    private void remove(TokenEntry entry, AnswerRoom room) {
        room.release(entry.state().roomBytes());
        entries.remove(entry.sequence());
    }

    void markHandedOver() {
        handedOver = true;
    }

    boolean handedOver() {
        return handedOver;
    }
}
