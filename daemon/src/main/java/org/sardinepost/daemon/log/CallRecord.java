package org.sardinepost.daemon.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.UpstreamId;

/** Collects the attempts and the outcome of a call for its log line. Thread-safe. */
public final class CallRecord {
    private final long arrivalNanos;
    private final long textVersion;
    private final List<String> attempts = new ArrayList<>(1);
    private String route = "";
    private String service = "";
    private long dispatchedNanos;
    private String outcomeLabel = "";
    private String refusalDetail = "";
    private int status;
    private long endNanos;

    /**
     * Creates the record of a call that has arrived.
     *
     * @param textVersion the version of the services text by which the call is routed
     */
    public CallRecord(long arrivalNanos, long textVersion) {
        this.arrivalNanos = arrivalNanos;
        this.textVersion = textVersion;
    }

    public synchronized void setTarget(String routeName, String serviceName) {
        route = routeName;
        service = serviceName;
    }

    /** Records that the call got a slot on an upstream. */
    public synchronized void dispatched(long nowNanos) {
        dispatchedNanos = nowNanos;
    }

    /** Records the end of the attempt that used the last assigned slot. */
    public synchronized void attemptEnded(UpstreamId upstream, DispatchResult result, long nowNanos) {
        JsonLineBuilder attempt = new JsonLineBuilder()
                .add("upstream", upstream.toString())
                .add("placed-ms", nanosToMillis(dispatchedNanos - arrivalNanos))
                .add("took-ms", nanosToMillis(nowNanos - dispatchedNanos))
                .add("result", result.kind().name());
        result.load().ifPresent(load -> attempt.add("load", formatLoad(load)));
        attempts.add(attempt.toString());
    }

    /** Records why a dispatcher refused the call. */
    public synchronized void dispatchRefused(String detail) {
        refusalDetail = detail;
    }

    public synchronized void ended(int responseStatus, String callOutcome, long nowNanos) {
        status = responseStatus;
        outcomeLabel = callOutcome;
        endNanos = nowNanos;
    }

    synchronized void addTo(JsonLineBuilder line) {
        line.add("text-version", textVersion)
                .add("route", route)
                .add("service", service)
                .addJson("attempts", "[" + String.join(",", attempts) + "]")
                .add("status", status)
                .add("outcome", outcomeLabel)
                .add("took-ms", nanosToMillis(endNanos - arrivalNanos));
        if (!refusalDetail.isEmpty()) {
            line.add("detail", refusalDetail);
        }
    }

    private static String formatLoad(ReportedLoad load) {
        return load.inFlight() + "/" + load.slots();
    }

    private static long nanosToMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
