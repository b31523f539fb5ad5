package org.sardinepost.core.routing;

import java.util.Optional;

/**
 * The load that an upstream reports on a response.
 *
 * @param inFlight number of calls in progress and queued
 * @param slots maximum number of calls that the upstream processes concurrently
 * @param slowdownPercent the service time on the upstream's host at this moment, relative to the normal service time;
 *     100 is normal
 */
public record ReportedLoad(int inFlight, int slots, int slowdownPercent) {
    private static final int NORMAL_SLOWDOWN_PERCENT = 100;

    /** Creates a load report of an upstream that runs at normal speed. */
    public ReportedLoad(int inFlight, int slots) {
        this(inFlight, slots, NORMAL_SLOWDOWN_PERCENT);
    }

    /** Returns the header value, in the format that {@link #parse} reads. */
    public String headerValue() {
        return inFlight + "/" + slots + "/" + slowdownPercent;
    }

    /** Parses {@code IN_FLIGHT/SLOTS} or {@code IN_FLIGHT/SLOTS/SLOWDOWN}; empty if the text has neither format. */
    public static Optional<ReportedLoad> parse(String text) {
        String[] parts = text.split("/", -1);
        if (parts.length < 2 || parts.length > 3) {
            return Optional.empty();
        }
        try {
            int inFlight = Integer.parseInt(parts[0].trim());
            int slots = Integer.parseInt(parts[1].trim());
            int slowdownPercent = parts.length == 3 ? Integer.parseInt(parts[2].trim()) : NORMAL_SLOWDOWN_PERCENT;
            return inFlight < 0 || slots < 1 || slowdownPercent < 1
                    ? Optional.empty()
                    : Optional.of(new ReportedLoad(inFlight, slots, slowdownPercent));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
