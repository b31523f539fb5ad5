package org.sardinepost.core.token;

import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.call.RefusedException;

/** The right to dispatch one request. Only the first call of an ending method has an effect. */
public interface DispatchPermit {
    /** The outcome that the callers of this request receive. */
    CompletableFuture<TokenOutcome> outcome();

    /** Stores the answer for repeats. */
    void answered(StoredAnswer answer);

    /** Nothing was written to an upstream, or the upstream said that it refused before starting. */
    void notRun(RefusedException refusal);

    /** The request may have run. No repeat is dispatched. */
    void unknown(RefusedException refusal);
}
