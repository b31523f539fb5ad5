package org.sardinepost.daemon.log;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;

/** Logs one line for each completed call, up to a limit of lines per second. */
public final class CallLog {
    private final Optional<String> requestIdHeader;
    private final LineRateLimiter rateLimiter;
    private final LongSupplier nanoClock;

    /**
     * Creates the log.
     *
     * @param requestIdHeader the request header that contains the caller's request id
     * @param linesPerSecond the maximum number of lines per second; 0 disables the log
     */
    public CallLog(Optional<String> requestIdHeader, int linesPerSecond, LongSupplier nanoClock) {
        this.requestIdHeader = requestIdHeader;
        this.rateLimiter = new LineRateLimiter(linesPerSecond);
        this.nanoClock = nanoClock;
    }

    /** Logs a completed call unless the rate limit is exceeded. */
    public void logCall(HttpFields request, CallRecord call) {
        if (!rateLimiter.tryAcquire(nanoClock.getAsLong())) {
            return;
        }
        JsonLineBuilder line = new JsonLineBuilder();
        requestIdHeader.map(request::get).ifPresent(id -> line.add("id", id));
        call.addTo(line);
        long droppedLines = rateLimiter.takeDroppedCount();
        if (droppedLines > 0) {
            line.add("left-out", droppedLines);
        }
        LogEvent.CALL_ENDED.info(line);
    }
}
