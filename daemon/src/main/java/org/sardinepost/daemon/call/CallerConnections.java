package org.sardinepost.daemon.call;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.clients.AccountState;
import org.sardinepost.core.clients.ClientLoadPolicy;
import org.sardinepost.core.clients.CloseReason;
import org.sardinepost.core.clients.ConnectionLoad;
import org.sardinepost.daemon.log.LineRateLimiter;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.daemon.metrics.CallMetrics;

/** The connections of callers, and what {@link ClientLoadPolicy} decides about them. Thread-safe. */
public final class CallerConnections {
    private static final int LOG_LINES_PER_SECOND = 1;

    private final ClientLoadPolicy policy;
    private final HeldBytes heldBytes;
    private final CallMetrics metrics;
    private final LongSupplier nanoClock;
    private final Set<CallerEndPoint> open = ConcurrentHashMap.newKeySet();
    private final Map<CloseReason, LineRateLimiter> logLimits = new EnumMap<>(CloseReason.class);
    private final AtomicLong closedCount = new AtomicLong();

    public CallerConnections(
            ClientLoadPolicy policy, HeldBytes heldBytes, CallMetrics metrics, LongSupplier nanoClock) {
        this.policy = policy;
        this.heldBytes = heldBytes;
        this.metrics = metrics;
        this.nanoClock = nanoClock;
        for (CloseReason reason : CloseReason.values()) {
            logLimits.put(reason, new LineRateLimiter(LOG_LINES_PER_SECOND));
        }
    }

    public int count() {
        return open.size();
    }

    /** Returns the number of connections that were closed since the start. */
    public long closedCount() {
        return closedCount.get();
    }

    long now() {
        return nanoClock.getAsLong();
    }

    ConnectionAccount openAccount() {
        return new ConnectionAccount(heldBytes, now());
    }

    ClientLoadPolicy policy() {
        return policy;
    }

    AccountState state() {
        return heldBytes.state();
    }

    /** Adds a connection, and closes others if there are too many, or itself if no other can be closed. */
    void opened(CallerEndPoint endPoint) {
        // Closed outside the lock, since this runs code of the calls of the connections.
        makeRoom(endPoint).forEach(surplus -> close(surplus, CloseReason.CONNECTION_LIMIT));
    }

    private synchronized List<CallerEndPoint> makeRoom(CallerEndPoint added) {
        List<CallerEndPoint> surplus = new ArrayList<>();
        while (!policy.fits(open.size() + 1)) {
            Optional<CallerEndPoint> other = policy.closedForNew(loads(), now());
            if (other.isEmpty()) {
                surplus.add(added);
                return surplus;
            }
            open.remove(other.get());
            surplus.add(other.get());
        }
        open.add(added);
        return surplus;
    }

    void closed(CallerEndPoint endPoint) {
        open.remove(endPoint);
    }

    /** Applies the decisions that depend on time. Must be run several times within the stall time. */
    public void review() {
        long now = now();
        List<ConnectionLoad<CallerEndPoint>> loads = loads();
        policy.stalledToClose(state(), loads, now).forEach(endPoint -> close(endPoint, CloseReason.CLIENT_STALLED));
        AccountState state = state();
        for (ConnectionLoad<CallerEndPoint> load : loads) {
            if (policy.recallsCallsAhead(state, load, now)) {
                metrics.callsRecalled(load.connection().pipeline().recall());
            }
            load.connection().resumeReading();
        }
    }

    /** Counts a connection that was closed as soon as it was accepted. */
    public void refusedForDescriptors() {
        countClosed(CloseReason.DESCRIPTOR_RESERVE);
    }

    /** Counts a stream that was refused before its request was handled. */
    void streamRefused() {
        metrics.refused(RefusalReason.HELD_BYTES_FULL);
    }

    private List<ConnectionLoad<CallerEndPoint>> loads() {
        return open.stream().map(CallerEndPoint::load).toList();
    }

    private void close(CallerEndPoint endPoint, CloseReason reason) {
        // Removed here as well, since the end of the connection may be processed later.
        open.remove(endPoint);
        countClosed(reason);
        endPoint.close();
    }

    private void countClosed(CloseReason reason) {
        closedCount.incrementAndGet();
        metrics.connectionClosed(reason);
        LineRateLimiter logLimit = logLimits.get(reason);
        if (logLimit.tryAcquire(now())) {
            long closed = 1 + logLimit.takeDroppedCount();
            AccountState state = state();
            switch (reason) {
                case CLIENT_STALLED -> LogEvent.STALLED_CONNECTIONS_CLOSED.warn(
                        closed, state.bodyBytes(), state.callBytes());
                case CONNECTION_LIMIT -> LogEvent.SURPLUS_CONNECTIONS_CLOSED.warn(closed, open.size());
                case DESCRIPTOR_RESERVE -> LogEvent.CONNECTIONS_REFUSED_FOR_DESCRIPTORS.warn(closed);
            }
        }
    }
}
