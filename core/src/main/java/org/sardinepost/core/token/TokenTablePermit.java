package org.sardinepost.core.token;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sardinepost.core.call.RefusedException;

/** A permit that records its outcome in a {@link TokenTable}. */
final class TokenTablePermit implements DispatchPermit {
    private final TokenTable table;
    private final HeldIncarnation heldIncarnation;
    private final TokenEntry entry;
    private final EntryState.InProgress progress;
    private final AtomicBoolean ended = new AtomicBoolean();

    TokenTablePermit(
            TokenTable table, HeldIncarnation heldIncarnation, TokenEntry entry, EntryState.InProgress progress) {
        this.table = table;
        this.heldIncarnation = heldIncarnation;
        this.entry = entry;
        this.progress = progress;
    }

    @Override
    public CompletableFuture<TokenOutcome> outcome() {
        return progress.outcome().copy();
    }

    @Override
    public void answered(StoredResponse response) {
        if (ended.compareAndSet(false, true)) {
            table.endDispatch(entry, progress, new EntryState.Answered(response));
            progress.outcome().complete(new TokenOutcome.Answered(response));
        }
    }

    @Override
    public void notRun(RefusedException refusal) {
        if (ended.compareAndSet(false, true)) {
            IdempotencyToken renewed = table.endDispatchNotRun(heldIncarnation, entry, progress);
            progress.outcome().complete(new TokenOutcome.NotRun(refusal, renewed));
        }
    }

    @Override
    public void unknown(RefusedException refusal) {
        if (ended.compareAndSet(false, true)) {
            table.endDispatch(entry, progress, new EntryState.Unknown());
            progress.outcome().complete(new TokenOutcome.Unknown(refusal));
        }
    }
}
