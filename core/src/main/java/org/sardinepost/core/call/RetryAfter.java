package org.sardinepost.core.call;

import java.math.BigDecimal;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Parses the value of a {@code Retry-After} header.
 *
 * <p>The value is a number of seconds, with or without a fraction, or a date. A date counts from the {@code Date} of the
 * same response, since the clocks of two hosts differ; without one it is ignored. All other values are ignored too.
 */
public final class RetryAfter {
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,9})?");

    private RetryAfter() {}

    /**
     * Returns the delay that a header states; empty if it states none, or none that is in the future.
     *
     * @param value the value of the header
     * @param responseDate the value of the Date header of the response
     */
    public static Optional<Duration> parse(String value, Optional<String> responseDate) {
        String trimmed = value.trim();
        Optional<Duration> delay = SECONDS.matcher(trimmed).matches()
                ? Optional.of(seconds(trimmed))
                : parseDate(trimmed)
                        .flatMap(date ->
                                responseDate.flatMap(RetryAfter::parseDate).map(sent -> Duration.between(sent, date)));
        return delay.filter(duration -> !duration.isNegative() && !duration.isZero());
    }

    private static Duration seconds(String text) {
        BigDecimal seconds = new BigDecimal(text);
        long wholeSeconds = seconds.longValue();
        long nanos = seconds.subtract(BigDecimal.valueOf(wholeSeconds))
                .movePointRight(9)
                .longValue();
        return Duration.ofSeconds(wholeSeconds, nanos);
    }

    private static Optional<ZonedDateTime> parseDate(String text) {
        try {
            return Optional.of(ZonedDateTime.parse(text, DateTimeFormatter.RFC_1123_DATE_TIME));
        } catch (DateTimeException e) {
            return Optional.empty();
        }
    }
}
