package org.sardinepost.peer;

/**
 * Intervals of peer connections in milliseconds.
 *
 * @param heartbeatMillis time between heartbeats of the opener
 * @param timeoutMillis silence after which a connection counts as dead
 * @param connectMillis limit for opening a connection
 * @param minBackoffMillis first wait before a new attempt
 * @param maxBackoffMillis longest wait before a new attempt
 */
public record PeerTimings(
        long heartbeatMillis, long timeoutMillis, int connectMillis, long minBackoffMillis, long maxBackoffMillis) {
    /** At 100 daemons, a heartbeat each 3 s costs 9 KB/s for each daemon with the TCP/IP headers. */
    public static PeerTimings defaults() {
        return new PeerTimings(3_000, 9_000, 2_000, 100, 3_000);
    }
}
