package org.sardinepost.core.measuring;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.sardinepost.core.routing.UpstreamId;

/** Selects the upstream whose next probe helps most: where old information and importance come together. */
public final class ProbeSelector {
    /** Answers of the last half second say as much as a probe would. */
    private static final long FRESH_NANOS = 500_000_000L;

    private static final Comparator<ProbeCandidate> BY_WORTH = Comparator.comparingDouble(ProbeSelector::worth)
            .thenComparingLong(ProbeCandidate::ageNanos)
            .thenComparing(candidate -> candidate.upstream().toString());

    private ProbeSelector() {}

    /** The upstream to probe next; empty if all information is fresh, so that the budget is not spent for nothing. */
    public static Optional<UpstreamId> select(Collection<ProbeCandidate> candidates) {
        return candidates.stream()
                .filter(candidate -> candidate.ageNanos() > FRESH_NANOS)
                .max(BY_WORTH)
                .map(ProbeCandidate::upstream);
    }

    private static double worth(ProbeCandidate candidate) {
        return (double) candidate.ageNanos() * candidate.importance();
    }
}
