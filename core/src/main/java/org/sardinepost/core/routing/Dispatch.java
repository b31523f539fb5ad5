package org.sardinepost.core.routing;

/** A place on one upstream, held by one call until it reports the result. */
public interface Dispatch {
    UpstreamId upstream();

    /** Releases the place. Only the first call has an effect. */
    void finished(DispatchResult result, long nowNanos);
}
