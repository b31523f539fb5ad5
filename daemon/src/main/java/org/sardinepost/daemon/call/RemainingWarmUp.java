package org.sardinepost.daemon.call;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses the remaining cold time that an upstream reports. */
public final class RemainingWarmUp {
    /** Nine digits are eleven days, far longer than any warm-up time that a services text may contain. */
    private static final Pattern MILLIS = Pattern.compile("([0-9]{1,9})(\\.[0-9]+)?");

    private RemainingWarmUp() {}

    /**
     * Parses a time in milliseconds.
     *
     * @param header the value of the header; null if the upstream sent none, which means that it is warm
     */
    public static Optional<Duration> parse(String header) {
        if (header == null) {
            return Optional.of(Duration.ZERO);
        }
        if (!MILLIS.matcher(header).matches()) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofMillis((long) Math.ceil(Double.parseDouble(header))));
    }
}
