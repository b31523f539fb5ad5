package org.sardinepost.core.token;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sardinepost.core.call.RefusedException;

/** A permit of a {@link TokenTable}. */
final class TablePermit implements DispatchPermit {
    private final TokenTable table;
    private final HeldIncarnation holding;
    private final TokenEntry entry;
    private final EntryState.InProgress progress;
    private final AtomicBoolean ended = new AtomicBoolean();

    TablePermit(TokenTable table, HeldIncarnation holding, TokenEntry entry, EntryState.InProgress progress) {
        this.table = table;
        this.holding = holding;
        this.entry = entry;
        this.progress = progress;
    }

    @Override
    public CompletableFuture<TokenOutcome> outcome() {
        return progress.outcome().copy();
    }

    @Override
    public void answered(StoredAnswer answer) {
        if (ended.compareAndSet(false, true)) {
            table.end(entry, progress, new EntryState.Answered(answer));
            progress.outcome().complete(new TokenOutcome.Answered(answer));
        }
    }

    @Override
    public void notRun(RefusedException refusal) {
        if (ended.compareAndSet(false, true)) {
            IdempotencyToken renewed = table.endNotRun(holding, entry, progress);
            progress.outcome().complete(new TokenOutcome.NotRun(refusal, renewed));
        }
    }

    @Override
    public void unknown(RefusedException refusal) {
        if (ended.compareAndSet(false, true)) {
            table.end(entry, progress, new EntryState.Unknown());
            progress.outcome().complete(new TokenOutcome.Unknown(refusal));
        }
    }
}
