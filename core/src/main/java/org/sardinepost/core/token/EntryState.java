package org.sardinepost.core.token;

import java.util.concurrent.CompletableFuture;

/** The processing state of a token's request. */
sealed interface EntryState {

    /** No upstream has started the request. */
    record Fresh() implements EntryState {}

    /** A dispatch is in progress and holds a reservation in the response budget. */
    record InProgress(CompletableFuture<TokenOutcome> outcome, long reservedBytes) implements EntryState {}

    /** The request ran and returned this response. */
    record Answered(StoredResponse response) implements EntryState {}

    /** The request may or may not have run. */
    record Unknown() implements EntryState {}

    /** Returns the number of bytes that this state occupies in the response budget. */
    default long chargedBytes() {
        if (this instanceof InProgress progress) {
            return progress.reservedBytes();
        }
        return this instanceof Answered answered ? answered.response().sizeBytes() : 0;
    }
}
