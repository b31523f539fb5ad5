package org.sardinepost.core.call;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The context that is passed along with a call and its nested calls in the header {@code Sardinepost-Context}.
 *
 * @param callingService the service whose upstream makes the call; empty for a call from outside
 * @param depth number of nested calls above this one; 0 for a call from outside
 * @param attemptsLeft how often the call may still be sent to an upstream
 */
public record CallContext(Optional<String> callingService, int depth, int attemptsLeft) {
    /** Calls at a greater depth are refused. */
    public static final int MAX_DEPTH = 10;

    /** The first attempt and two retries. */
    public static final int MAX_ATTEMPTS = 3;

    private static final Pattern FORMAT =
            Pattern.compile("service=([^;\\s]{1,256}); *depth=([0-9]{1,4}); *attempts=([0-9]{1,4})");

    public CallContext {
        Objects.requireNonNull(callingService);
    }

    /** Returns the context of a call from outside. */
    public static CallContext outside() {
        return new CallContext(Optional.empty(), 0, MAX_ATTEMPTS);
    }

    /** Parses a header value; empty if it does not have the format {@code service=NAME; depth=N; attempts=N}. */
    public static Optional<CallContext> parse(String header) {
        Matcher matcher = FORMAT.matcher(header.trim());
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int depth = Integer.parseInt(matcher.group(2));
        int attempts = Integer.parseInt(matcher.group(3));
        return Optional.of(new CallContext(Optional.of(matcher.group(1)), depth, clampAttempts(attempts)));
    }

    private static int clampAttempts(int attempts) {
        return Math.max(1, Math.min(attempts, MAX_ATTEMPTS));
    }

    /** Returns the context that an upstream of the called service attaches to its own calls. */
    public CallContext nested(String calledService, int attempts) {
        return new CallContext(Optional.of(calledService), depth + 1, attempts);
    }

    public boolean exceedsMaxDepth() {
        return depth > MAX_DEPTH;
    }

    /** Returns the header value of a call that has a calling service. */
    public String headerValue() {
        return "service=" + callingService.orElseThrow() + "; depth=" + depth + "; attempts=" + attemptsLeft;
    }
}
