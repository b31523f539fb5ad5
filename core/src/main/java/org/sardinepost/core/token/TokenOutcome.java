package org.sardinepost.core.token;

import org.sardinepost.core.call.RefusedException;

/** The outcome of a dispatch, for its sender and for the callers that joined it. */
public sealed interface TokenOutcome {
    /** An upstream returned this complete response. */
    record Answered(StoredResponse response) implements TokenOutcome {}

    /**
     * No upstream started the request.
     *
     * @param refusal why it did not run
     * @param renewed the token with which the same request may be dispatched
     */
    record NotRun(RefusedException refusal, IdempotencyToken renewed) implements TokenOutcome {}

    /** The request may or may not have run. It is not dispatched again. */
    record Unknown(RefusedException refusal) implements TokenOutcome {}
}
