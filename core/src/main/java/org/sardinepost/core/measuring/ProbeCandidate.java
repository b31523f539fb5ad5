package org.sardinepost.core.measuring;

import java.util.Objects;
import org.sardinepost.core.routing.UpstreamId;

/**
 * An upstream that may be probed, with the values that determine its probing priority.
 *
 * @param ageNanos age of the most recent load information; {@link Long#MAX_VALUE} if there is none
 * @param importance weight of this upstream in routing decisions; 1 is normal
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
