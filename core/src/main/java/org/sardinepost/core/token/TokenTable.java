package org.sardinepost.core.token;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/**
 * Holds the idempotency tokens that a daemon issued and those that it adopted from other daemon incarnations.
 *
 * <p>Each token has an entry from its issue until it expires, and a token without an entry is never dispatched.
 * Preventing a second execution therefore does not depend on a clock. Thread-safe: all state is guarded by one lock,
 * and futures are completed without holding it.
 */
public final class TokenTable {
    /**
     * Adopted incarnations are never removed, so that a delayed duplicate of an image cannot restore expired tokens.
     */
    private static final int MAX_HELD_INCARNATIONS = 1024;

    private final Object lock = new Object();
    private final TokenTableLimits limits;
    private final HeldIncarnation ownIncarnation;
    private final Map<Long, HeldIncarnation> heldByIncarnation = new LinkedHashMap<>();
    private final ResponseBudget responseBudget;
    private final CompletableFuture<Void> frozenAndIdle = new CompletableFuture<>();
    private boolean frozen;
    private int dispatchesInProgress;

    public TokenTable(TokenIssuer issuer, TokenTableLimits limits) {
        this.limits = limits;
        this.ownIncarnation = new HeldIncarnation(issuer);
        this.responseBudget = new ResponseBudget(limits.responseBytes());
        heldByIncarnation.put(issuer.incarnation(), ownIncarnation);
    }

    /**
     * Issues a token.
     *
     * @throws RefusedException if the table is full or frozen
     */
    public IdempotencyToken issue(long nowNanos) {
        synchronized (lock) {
            if (frozen) {
                throw new RefusedException(RefusalReason.DRAINING, "the daemon is stopping and issues no tokens");
            }
            ownIncarnation.removeExpired(nowNanos, responseBudget);
            if (ownIncarnation.size() >= limits.ownEntries()) {
                throw new RefusedException(
                        RefusalReason.TOKEN_TABLE_FULL, "all " + limits.ownEntries() + " token entries are in use");
            }
            return ownIncarnation.issue(nowNanos, limits.lifetime().toNanos());
        }
    }

    /**
     * Decides how to handle a request that carries a token.
     *
     * @param maxResponseBytes maximum size of the response, which is reserved in the response budget until the dispatch
     *     ends
     */
    public TokenDecision begin(
            IdempotencyToken token, RequestFingerprint fingerprint, long maxResponseBytes, long nowNanos) {
        Optional<HeldIncarnation> heldIncarnation = findHeldIncarnation(token.incarnation());
        if (heldIncarnation.isEmpty()) {
            return new TokenDecision.NotIssuer(token.issuer(), token.incarnation());
        }
        if (!heldIncarnation.get().issuer().verifies(token)) {
            return new TokenDecision.Invalid();
        }
        synchronized (lock) {
            return decide(heldIncarnation.get(), token, fingerprint, maxResponseBytes, nowNanos);
        }
    }

    private Optional<HeldIncarnation> findHeldIncarnation(long incarnation) {
        synchronized (lock) {
            return Optional.ofNullable(heldByIncarnation.get(incarnation));
        }
    }

    private TokenDecision decide(
            HeldIncarnation heldIncarnation,
            IdempotencyToken token,
            RequestFingerprint fingerprint,
            long maxResponseBytes,
            long nowNanos) {
        if (heldIncarnation.handedOver()) {
            return new TokenDecision.HandedOver(token.incarnation());
        }
        heldIncarnation.removeExpired(nowNanos, responseBudget);
        Optional<TokenEntry> entry =
                heldIncarnation.entry(token.sequence()).filter(candidate -> !candidate.expired(nowNanos));
        if (entry.isEmpty()) {
            return new TokenDecision.Expired();
        }
        if (!entry.get().belongsTo(fingerprint)) {
            return new TokenDecision.Mismatch();
        }
        return decideRepeat(entry.get())
                .orElseGet(() -> decideFirstDispatch(
                        heldIncarnation, entry.get(), token.generation(), fingerprint, maxResponseBytes));
    }

    /**
     * Returns the decision for a request that was dispatched before; empty if no dispatch has run or is in progress.
     */
    private static Optional<TokenDecision> decideRepeat(TokenEntry entry) {
        EntryState state = entry.state();
        if (state instanceof EntryState.InProgress progress) {
            return Optional.of(new TokenDecision.Join(progress.outcome().copy()));
        }
        if (state instanceof EntryState.Answered answered) {
            return Optional.of(new TokenDecision.Replay(answered.response()));
        }
        if (state instanceof EntryState.Unknown) {
            return Optional.of(new TokenDecision.Unknown());
        }
        return Optional.empty();
    }

    private TokenDecision decideFirstDispatch(
            HeldIncarnation heldIncarnation,
            TokenEntry entry,
            int generation,
            RequestFingerprint fingerprint,
            long maxResponseBytes) {
        if (frozen) {
            return new TokenDecision.Frozen(heldIncarnation.issuer().incarnation());
        }
        if (generation != entry.generation()) {
            return new TokenDecision.Renewed(heldIncarnation.token(entry));
        }
        entry.bind(fingerprint);
        if (!responseBudget.reserve(maxResponseBytes)) {
            entry.renew();
            return new TokenDecision.ResponseBudgetFull(heldIncarnation.token(entry));
        }
        return new TokenDecision.Dispatch(startDispatch(heldIncarnation, entry, maxResponseBytes));
    }

    private DispatchPermit startDispatch(HeldIncarnation heldIncarnation, TokenEntry entry, long reservedBytes) {
        EntryState.InProgress progress = new EntryState.InProgress(new CompletableFuture<>(), reservedBytes);
        entry.setState(progress);
        dispatchesInProgress++;
        return new TokenTablePermit(this, heldIncarnation, entry, progress);
    }

    /** Ends a dispatch and sets the entry state that repeated requests are decided by. */
    void endDispatch(TokenEntry entry, EntryState.InProgress progress, EntryState next) {
        synchronized (lock) {
            responseBudget.release(progress.reservedBytes());
            // A response larger than its reservation is stored only if it fits the budget. Otherwise repeated requests
            // get "unknown".
            boolean stored = responseBudget.reserve(next.chargedBytes());
            entry.setState(stored ? next : new EntryState.Unknown());
            dispatchesInProgress--;
        }
        completeIfIdle();
    }

    /** Ends a dispatch that did not run and returns the token for the next one. */
    IdempotencyToken endDispatchNotRun(
            HeldIncarnation heldIncarnation, TokenEntry entry, EntryState.InProgress progress) {
        IdempotencyToken renewed;
        synchronized (lock) {
            entry.renew();
            renewed = heldIncarnation.token(entry);
        }
        endDispatch(entry, progress, new EntryState.Fresh());
        return renewed;
    }

    /**
     * Permanently stops issuing tokens and starting dispatches.
     *
     * @return a future that completes when no dispatch is in progress
     */
    public CompletableFuture<Void> freeze() {
        synchronized (lock) {
            frozen = true;
        }
        completeIfIdle();
        return frozenAndIdle.copy();
    }

    private void completeIfIdle() {
        boolean idle;
        synchronized (lock) {
            idle = frozen && dispatchesInProgress == 0;
        }
        if (idle) {
            frozenAndIdle.complete(null);
        }
    }

    /** Returns the incarnations whose tokens this daemon handles, its own first. */
    public List<Long> heldIncarnations() {
        synchronized (lock) {
            return heldByIncarnation.entrySet().stream()
                    .filter(entry -> !entry.getValue().handedOver())
                    .map(Map.Entry::getKey)
                    .toList();
        }
    }

    /**
     * Returns the tokens and the key of a held incarnation, encoded as frames of at most 1 MiB.
     *
     * <p>Only one daemon incarnation may receive the frames. A second receiver could dispatch a request that the first
     * one has already dispatched.
     */
    public List<byte[]> exportImage(long incarnation, long nowNanos) {
        synchronized (lock) {
            if (!frozen || dispatchesInProgress > 0) {
                throw new HandoverException(
                        "the token table is in use; call freeze and wait until no dispatch is in progress");
            }
            HeldIncarnation heldIncarnation = heldByIncarnation.get(incarnation);
            if (heldIncarnation == null) {
                throw new HandoverException("incarnation " + Long.toHexString(incarnation)
                        + " is not held by this daemon; export one of heldIncarnations");
            }
            heldIncarnation.removeExpired(nowNanos, responseBudget);
            return TokenImageWriter.write(
                    new TokenImage(heldIncarnation.issuer(), heldIncarnation.entriesByExpiry()), nowNanos);
        }
    }

    /** Records that the receiver of an image has adopted it. */
    public void markHandedOver(long incarnation) {
        findHeldIncarnation(incarnation).ifPresent(heldIncarnation -> {
            synchronized (lock) {
                heldIncarnation.markHandedOver();
            }
        });
    }

    /**
     * Adopts the tokens of another incarnation. Adopting the same image again has no effect.
     *
     * @return the adopted incarnation
     */
    public long adopt(List<byte[]> frames, long nowNanos) {
        TokenImage image = TokenImageReader.read(frames, nowNanos);
        long incarnation = image.issuer().incarnation();
        synchronized (lock) {
            if (!heldByIncarnation.containsKey(incarnation)) {
                checkCapacityFor(image, nowNanos);
                heldByIncarnation.put(incarnation, heldIncarnationOf(image));
            }
        }
        return incarnation;
    }

    private void checkCapacityFor(TokenImage image, long nowNanos) {
        if (frozen) {
            throw new HandoverException("the daemon is stopping and does not adopt tokens; send them to another peer");
        }
        heldByIncarnation.values().forEach(heldIncarnation -> heldIncarnation.removeExpired(nowNanos, responseBudget));
        int adoptedEntries = heldByIncarnation.values().stream()
                        .mapToInt(HeldIncarnation::size)
                        .sum()
                - ownIncarnation.size();
        boolean tooManyEntries = image.entries().size() > limits.adoptedEntries() - adoptedEntries;
        if (tooManyEntries || heldByIncarnation.size() >= MAX_HELD_INCARNATIONS) {
            throw new HandoverException("the daemon holds " + adoptedEntries + " adopted entries of "
                    + heldByIncarnation.size() + " incarnations and has no capacity for "
                    + image.entries().size() + "; send them to another peer");
        }
    }

    private HeldIncarnation heldIncarnationOf(TokenImage image) {
        HeldIncarnation heldIncarnation = new HeldIncarnation(image.issuer());
        image.entries().forEach(entry -> {
            // A response that exceeds the budget is dropped, and repeated requests get "unknown".
            if (!responseBudget.reserve(entry.state().chargedBytes())) {
                entry.setState(new EntryState.Unknown());
            }
            heldIncarnation.add(entry);
        });
        return heldIncarnation;
    }

    /** Returns the current usage for metrics and the status page. */
    public TokenTableUsage usage() {
        synchronized (lock) {
            int total = heldByIncarnation.values().stream()
                    .mapToInt(HeldIncarnation::size)
                    .sum();
            return new TokenTableUsage(
                    ownIncarnation.size(),
                    total - ownIncarnation.size(),
                    dispatchesInProgress,
                    responseBudget.usedBytes());
        }
    }
}
