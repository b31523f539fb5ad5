package org.sardinepost.core.routing;

import java.util.Optional;

/** The load that an upstream reports on an answer: calls in progress and slots. */
public record ReportedLoad(int inFlight, int slots) {
    /** Parses {@code IN_FLIGHT/SLOTS}; empty if the text has no such form. */
    public static Optional<ReportedLoad> parse(String text) {
        int slash = text.indexOf('/');
        if (slash <= 0) {
            return Optional.empty();
        }
        try {
            int inFlight = Integer.parseInt(text.substring(0, slash).trim());
            int slots = Integer.parseInt(text.substring(slash + 1).trim());
            return inFlight < 0 || slots < 1 ? Optional.empty() : Optional.of(new ReportedLoad(inFlight, slots));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
