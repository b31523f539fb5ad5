package org.sardinepost.core.token;

import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.routing.UpstreamId;

/** What to do with a request that carries a token. */
public sealed interface TokenDecision {
    /** The request may be dispatched once; the permit must be ended. */
    record Dispatch(DispatchPermit permit) implements TokenDecision {}

    /** The same request is in progress; its outcome is this one's, too. */
    record Join(CompletableFuture<TokenOutcome> outcome) implements TokenDecision {}

    /** The request ran; this is its answer. */
    record Replay(StoredAnswer answer) implements TokenDecision {}

    /** The request may have run and its answer is not known. */
    record Unknown() implements TokenDecision {}

    /**
     * An earlier send was told that it did not run, so this token no longer starts a dispatch.
     *
     * <p>Otherwise a delayed first send could run the request after its caller was told that it did not run.
     *
     * @param renewed the token for a fresh dispatch of the same request
     */
    record Renewed(IdempotencyToken renewed) implements TokenDecision {}

    /** The token belongs to another request. */
    record Mismatch() implements TokenDecision {}

    /** The signature is wrong. */
    record Invalid() implements TokenDecision {}

    /** The token has expired, whatever became of its request. */
    record Expired() implements TokenDecision {}

    /** The token belongs to another incarnation, which was at this address. */
    record NotIssuer(UpstreamId address, long incarnation) implements TokenDecision {}

    /** The table is about to be handed over; the request may still be dispatched by its next holder. */
    record Frozen(long incarnation) implements TokenDecision {}

    /** Another daemon has adopted the tokens of this incarnation and answers for them. */
    record HandedOver(long incarnation) implements TokenDecision {}

    /**
     * The answer could not be stored, so the request was not dispatched.
     *
     * @param renewed the token for a fresh dispatch of the same request
     */
    record NoRoomForAnswer(IdempotencyToken renewed) implements TokenDecision {}
}
