package org.sardinepost.core.token;

import java.util.concurrent.CompletableFuture;

/** What became of the request of one token. */
sealed interface EntryState {

    /** No upstream has started the request. */
    record Fresh() implements EntryState {}

    /** A dispatch is in progress and has reserved room for its answer. */
    record InProgress(CompletableFuture<TokenOutcome> outcome, long reservedBytes) implements EntryState {}

    /** The request ran and gave this answer. */
    record Answered(StoredAnswer answer) implements EntryState {}

    /** The request may have run. */
    record Unknown() implements EntryState {}

    /** Bytes that the state holds of the room for answers. */
    default long roomBytes() {
        if (this instanceof InProgress progress) {
            return progress.reservedBytes();
        }
        return this instanceof Answered answered ? answered.answer().sizeBytes() : 0;
    }
}
