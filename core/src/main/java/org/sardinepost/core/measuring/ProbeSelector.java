package org.sardinepost.core.measuring;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.sardinepost.core.routing.UpstreamId;

/** Selects the upstream to probe next, based on the age of its load information and its importance. */
public final class ProbeSelector {
    /** A load report younger than half a second is as informative as a probe. */
    private static final long MAX_FRESH_AGE_NANOS = 500_000_000L;

    private static final Comparator<ProbeCandidate> BY_PRIORITY = Comparator.comparingDouble(ProbeSelector::priority)
            .thenComparingLong(ProbeCandidate::ageNanos)
            .thenComparing(candidate -> candidate.upstream().toString());

    private ProbeSelector() {}

    /** Returns the upstream to probe next; empty if all information is fresh, so that no budget is wasted. */
    public static Optional<UpstreamId> select(Collection<ProbeCandidate> candidates) {
        return candidates.stream()
                .filter(candidate -> candidate.ageNanos() > MAX_FRESH_AGE_NANOS)
                .max(BY_PRIORITY)
                .map(ProbeCandidate::upstream);
    }

    private static double priority(ProbeCandidate candidate) {
        return (double) candidate.ageNanos() * candidate.importance();
    }
}
