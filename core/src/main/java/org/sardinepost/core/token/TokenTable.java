package org.sardinepost.core.token;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/**
 * The tokens of one daemon: those that it issued and those of tables that were handed over to it.
 *
 * <p>Every unexpired token has an entry from its issue on. A token without entry therefore never starts a dispatch, so
 * safety does not depend on a clock. Thread-safe; all state is guarded by one lock, and futures complete outside it.
 */
public final class TokenTable {
    /** Adopted incarnations are remembered for good, so that a late copy of an image revives no token. */
    private static final int MAX_HELD_INCARNATIONS = 1024;

    private final Object lock = new Object();
    private final TokenTableLimits limits;
    private final HeldIncarnation own;
    private final Map<Long, HeldIncarnation> held = new LinkedHashMap<>();
    private final AnswerRoom room;
    private final CompletableFuture<Void> frozenAndIdle = new CompletableFuture<>();
    private boolean frozen;
    private int inProgress;

    public TokenTable(TokenIssuer issuer, TokenTableLimits limits) {
        this.limits = limits;
        this.own = new HeldIncarnation(issuer);
        this.room = new AnswerRoom(limits.answerBytes());
        held.put(issuer.incarnation(), own);
    }

    /** Issues a token, or fails with {@link RefusedException} at the cap and after {@link #freeze}. */
    public IdempotencyToken issue(long nowNanos) {
        synchronized (lock) {
            if (frozen) {
                throw new RefusedException(RefusalReason.DRAINING, "the daemon is stopping and issues no tokens");
            }
            own.removeExpired(nowNanos, room);
            if (own.size() >= limits.ownEntries()) {
                throw new RefusedException(
                        RefusalReason.TOKEN_TABLE_FULL, "all " + limits.ownEntries() + " token entries are in use");
            }
            return own.issue(nowNanos, limits.lifetime().toNanos());
        }
    }

    /**
     * Decides what to do with a request that carries a token.
     *
     * @param answerRoomBytes size of the largest answer that the request may have; reserved until the answer is known
     */
    public TokenDecision begin(
            IdempotencyToken token, RequestFingerprint request, long answerRoomBytes, long nowNanos) {
        Optional<HeldIncarnation> holding = holding(token.incarnation());
        if (holding.isEmpty()) {
            return new TokenDecision.NotIssuer(token.issuer(), token.incarnation());
        }
        if (!holding.get().issuer().signed(token)) {
            return new TokenDecision.Invalid();
        }
        synchronized (lock) {
            return decide(holding.get(), token, request, answerRoomBytes, nowNanos);
        }
    }

    private Optional<HeldIncarnation> holding(long incarnation) {
        synchronized (lock) {
            return Optional.ofNullable(held.get(incarnation));
        }
    }

    private TokenDecision decide(
            HeldIncarnation holding,
            IdempotencyToken token,
            RequestFingerprint request,
            long answerRoomBytes,
            long nowNanos) {
        if (holding.handedOver()) {
            return new TokenDecision.HandedOver(token.incarnation());
        }
        holding.removeExpired(nowNanos, room);
        Optional<TokenEntry> entry = holding.entry(token.sequence()).filter(candidate -> !candidate.expired(nowNanos));
        if (entry.isEmpty()) {
            return new TokenDecision.Expired();
        }
        if (!entry.get().belongsTo(request)) {
            return new TokenDecision.Mismatch();
        }
        return repeat(entry.get())
                .orElseGet(() -> firstSend(holding, entry.get(), token.generation(), request, answerRoomBytes));
    }

    /** The decision for a request that has been dispatched before; empty if it has not run. */
    private static Optional<TokenDecision> repeat(TokenEntry entry) {
        EntryState state = entry.state();
        if (state instanceof EntryState.InProgress progress) {
            return Optional.of(new TokenDecision.Join(progress.outcome().copy()));
        }
        if (state instanceof EntryState.Answered answered) {
            return Optional.of(new TokenDecision.Replay(answered.answer()));
        }
        if (state instanceof EntryState.Unknown) {
            return Optional.of(new TokenDecision.Unknown());
        }
        return Optional.empty();
    }

    private TokenDecision firstSend(
            HeldIncarnation holding,
            TokenEntry entry,
            int generation,
            RequestFingerprint request,
            long answerRoomBytes) {
        if (frozen) {
            return new TokenDecision.Frozen(holding.issuer().incarnation());
        }
        if (generation != entry.generation()) {
            return new TokenDecision.Renewed(holding.token(entry));
        }
        entry.bind(request);
        if (!room.reserve(answerRoomBytes)) {
            entry.renew();
            return new TokenDecision.NoRoomForAnswer(holding.token(entry));
        }
        return new TokenDecision.Dispatch(dispatch(holding, entry, answerRoomBytes));
    }

    private DispatchPermit dispatch(HeldIncarnation holding, TokenEntry entry, long reservedBytes) {
        EntryState.InProgress progress = new EntryState.InProgress(new CompletableFuture<>(), reservedBytes);
        entry.become(progress);
        inProgress++;
        return new TablePermit(this, holding, entry, progress);
    }

    /** Ends a dispatch with the state that its repeats meet. */
    void end(TokenEntry entry, EntryState.InProgress progress, EntryState next) {
        synchronized (lock) {
            room.release(progress.reservedBytes());
            // An answer above its reservation is kept only if the limit still holds; its repeats get "unknown".
            boolean stored = room.reserve(next.roomBytes());
            entry.become(stored ? next : new EntryState.Unknown());
            inProgress--;
        }
        completeIfIdle();
    }

    /** Ends a dispatch that did not run and gives the token for the next one. */
    IdempotencyToken endNotRun(HeldIncarnation holding, TokenEntry entry, EntryState.InProgress progress) {
        IdempotencyToken renewed;
        synchronized (lock) {
            entry.renew();
            renewed = holding.token(entry);
        }
        end(entry, progress, new EntryState.Fresh());
        return renewed;
    }

    /**
     * Ends all issue and all new dispatch, for good.
     *
     * @return completes when no dispatch is in progress any more
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
            idle = frozen && inProgress == 0;
        }
        if (idle) {
            frozenAndIdle.complete(null);
        }
    }

    /** The incarnations that this daemon answers for, its own first. */
    public List<Long> heldIncarnations() {
        synchronized (lock) {
            return held.entrySet().stream()
                    .filter(entry -> !entry.getValue().handedOver())
                    .map(Map.Entry::getKey)
                    .toList();
        }
    }

    /**
     * The tokens of one held incarnation with its key, as frames of at most 1 MiB.
     *
     * <p>Only one daemon incarnation may receive them: a second receiver could dispatch what the first has dispatched.
     */
    public List<byte[]> image(long incarnation, long nowNanos) {
        synchronized (lock) {
            if (!frozen || inProgress > 0) {
                throw new HandoverException(
                        "the token table is in use; call freeze and wait until no dispatch is in progress");
            }
            HeldIncarnation holding = held.get(incarnation);
            if (holding == null) {
                throw new HandoverException("incarnation " + Long.toHexString(incarnation)
                        + " is not held here; export one of heldIncarnations");
            }
            holding.removeExpired(nowNanos, room);
            return TokenImageWriter.write(new TokenImage(holding.issuer(), holding.all()), nowNanos);
        }
    }

    /** Notes that the receiver of an image has adopted it. */
    public void handedOver(long incarnation) {
        holding(incarnation).ifPresent(holding -> {
            synchronized (lock) {
                holding.markHandedOver();
            }
        });
    }

    /**
     * Adopts the tokens of another incarnation. A further copy of an adopted image changes nothing.
     *
     * @return the adopted incarnation
     */
    public long adopt(List<byte[]> frames, long nowNanos) {
        TokenImage image = TokenImageReader.read(frames, nowNanos);
        long incarnation = image.issuer().incarnation();
        synchronized (lock) {
            if (!held.containsKey(incarnation)) {
                checkRoomFor(image, nowNanos);
                held.put(incarnation, adopted(image));
            }
        }
        return incarnation;
    }

    private void checkRoomFor(TokenImage image, long nowNanos) {
        if (frozen) {
            throw new HandoverException("the daemon is stopping and adopts no tokens; send them to another peer");
        }
        held.values().forEach(holding -> holding.removeExpired(nowNanos, room));
        int adoptedEntries =
                held.values().stream().mapToInt(HeldIncarnation::size).sum() - own.size();
        boolean tooMany = image.entries().size() > limits.adoptedEntries() - adoptedEntries;
        if (tooMany || held.size() >= MAX_HELD_INCARNATIONS) {
            throw new HandoverException("the daemon holds " + adoptedEntries + " adopted entries of " + held.size()
                    + " incarnations and has no room for " + image.entries().size() + "; send them to another peer");
        }
    }

    private HeldIncarnation adopted(TokenImage image) {
        HeldIncarnation holding = new HeldIncarnation(image.issuer());
        image.entries().forEach(entry -> {
            // An answer without room is dropped; the repeats of its request get "unknown".
            if (!room.reserve(entry.state().roomBytes())) {
                entry.become(new EntryState.Unknown());
            }
            holding.add(entry);
        });
        return holding;
    }

    /** What the table holds now, for metrics and status. */
    public TokenTableUsage usage() {
        synchronized (lock) {
            int all = held.values().stream().mapToInt(HeldIncarnation::size).sum();
            return new TokenTableUsage(own.size(), all - own.size(), inProgress, room.usedBytes());
        }
    }
}
