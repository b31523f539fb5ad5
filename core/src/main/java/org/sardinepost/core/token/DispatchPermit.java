package org.sardinepost.core.token;

import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.call.RefusedException;

/**
 * Permission to dispatch a request once. {@link #answered}, {@link #notRun} and {@link #unknown} end the permit; only
 * the first call of any of them has an effect.
 */
public interface DispatchPermit {
    /** Returns a future that completes with the outcome for all callers of this request. */
    CompletableFuture<TokenOutcome> outcome();

    /** Ends the permit with a response, which is stored and replayed to repeated requests. */
    void answered(StoredResponse response);

    /**
     * Ends the permit if nothing was written to an upstream, or the upstream refused the request before starting it.
     */
    void notRun(RefusedException refusal);

    /** Ends the permit if the request may have run. Repeated requests are then never dispatched. */
    void unknown(RefusedException refusal);
}
