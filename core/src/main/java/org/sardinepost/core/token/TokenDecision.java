package org.sardinepost.core.token;

import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.routing.UpstreamId;

/** The decision how to handle a request that carries a token. */
public sealed interface TokenDecision {
    /** The request may be dispatched once. The receiver must end the permit. */
    record Dispatch(DispatchPermit permit) implements TokenDecision {}

    /** The same request is already in progress; this one receives the same outcome. */
    record Join(CompletableFuture<TokenOutcome> outcome) implements TokenDecision {}

    /** The request has run; the stored response is returned. */
    record Replay(StoredResponse response) implements TokenDecision {}

    /** The request may have run, and its response is not available. */
    record Unknown() implements TokenDecision {}

    /**
     * The token was superseded by a renewed one, because an earlier request was reported as not run.
     *
     * <p>If the old token were still accepted, a delayed copy of the first request could run after its caller was
     * informed that it had not run.
     *
     * @param renewed the token with which the same request may be dispatched
     */
    record Renewed(IdempotencyToken renewed) implements TokenDecision {}

    /** The token was already used with a different request. */
    record Mismatch() implements TokenDecision {}

    /** The signature is wrong. */
    record Invalid() implements TokenDecision {}

    /** The token has expired, regardless of the outcome of its request. */
    record Expired() implements TokenDecision {}

    /** The token was issued by another daemon incarnation, which had this address. */
    record NotIssuer(UpstreamId address, long incarnation) implements TokenDecision {}

    /** The table is frozen for handover. The daemon that adopts it may still dispatch the request. */
    record Frozen(long incarnation) implements TokenDecision {}

    /** Another daemon has adopted the tokens of this incarnation and now handles requests with them. */
    record HandedOver(long incarnation) implements TokenDecision {}

    /**
     * The request was not dispatched, because the budget for stored responses has no space for its response.
     *
     * @param renewed the token with which the same request may be dispatched
     */
    record ResponseBudgetFull(IdempotencyToken renewed) implements TokenDecision {}
}
