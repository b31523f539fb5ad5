package org.sardinepost.core.measuring;

import java.util.Objects;
import org.sardinepost.core.routing.UpstreamId;

/**
 * What decides whether an upstream is worth a probe.
 *
 * @param ageNanos age of the newest load information; {@link Long#MAX_VALUE} if there is none
 * @param importance how much a decision depends on this upstream; 1 is usual
 */
public record ProbeCandidate(UpstreamId upstream, long ageNanos, double importance) {
    public ProbeCandidate {
        Objects.requireNonNull(upstream);
        if (ageNanos < 0 || !(importance >= 0)) {
            throw new IllegalArgumentException(
                    "age " + ageNanos + " and importance " + importance + " must not be negative");
        }
    }
}
