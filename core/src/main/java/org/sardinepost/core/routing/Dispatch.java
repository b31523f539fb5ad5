package org.sardinepost.core.routing;

import java.util.Optional;

/** Permission to send one call to one upstream, held until the result of the call is reported. */
public interface Dispatch {
    UpstreamId upstream();

    /** Returns the instance name of the upstream process that the call is meant for, if it is known. */
    default Optional<String> instance() {
        return Optional.empty();
    }

    /** Releases this dispatch. Only the first invocation has an effect. */
    void complete(DispatchResult result, long nowNanos);
}
