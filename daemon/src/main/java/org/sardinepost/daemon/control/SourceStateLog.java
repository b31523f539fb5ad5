package org.sardinepost.daemon.control;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sardinepost.daemon.log.LogEvent;

/**
 * Logs the failures of reads of a source and the times in which its state is out of date, each once.
 *
 * <p>A daemon that does not read itself hears from its peers that an outage has ended. Only so can it log the next one.
 * Not thread-safe.
 */
final class SourceStateLog {
    /** Changes have to be in force two seconds after the source has acknowledged them. */
    private static final long OVERDUE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A source that refuses one daemon and serves its peers would otherwise cause a line for each read. */
    private static final long MIN_FAILURE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final String location;
    private Optional<Long> loggedFailureNanos = Optional.empty();
    private boolean respondedSinceFailure;
    private Optional<Long> overdueSinceNanos = Optional.empty();

    SourceStateLog(String location) {
        this.location = location;
    }

    /** Logs a failed read, unless no daemon got a response since the last failure that was logged. */
    void readFailed(Throwable cause, long nowNanos) {
        if (outageBegins(nowNanos)) {
            LogEvent.CONFIGURATION_SOURCE_DOWN.warn(location, Failures.describe(cause));
        }
    }

    /** Records a failed read and returns whether it is the first of an outage. */
    boolean outageBegins(long nowNanos) {
        boolean repeated = loggedFailureNanos
                .filter(logged -> !respondedSinceFailure || nowNanos - logged < MIN_FAILURE_INTERVAL_NANOS)
                .isPresent();
        if (!repeated) {
            loggedFailureNanos = Optional.of(nowNanos);
            respondedSinceFailure = false;
        }
        return !repeated;
    }

    /** Logs that reads by this daemon succeed again. */
    void readRecovered() {
        LogEvent.CONFIGURATION_SOURCE_RECOVERED.info(location);
    }

    /** Records that the source responded to this daemon or a peer at the given time. */
    void responded(long respondedNanos) {
        if (loggedFailureNanos.filter(logged -> respondedNanos - logged > 0).isPresent()) {
            respondedSinceFailure = true;
        }
    }

    /** Logs when the state that this daemon holds becomes out of date, and when it is up to date again. */
    void observe(long asOfNanos, long revision, long textVersion, long nowNanos) {
        boolean overdue = nowNanos - asOfNanos >= OVERDUE_NANOS;
        if (overdue && overdueSinceNanos.isEmpty()) {
            overdueSinceNanos = Optional.of(asOfNanos);
            LogEvent.SOURCE_STATE_OVERDUE.warn(location, millis(nowNanos - asOfNanos), revision, textVersion);
        } else if (!overdue && overdueSinceNanos.isPresent()) {
            long silentNanos = asOfNanos - overdueSinceNanos.orElseThrow();
            overdueSinceNanos = Optional.empty();
            LogEvent.SOURCE_STATE_CONFIRMED.info(location, millis(silentNanos), revision, textVersion);
        }
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
