package org.sardinepost.peer;

/**
 * Intervals and timeouts of peer connections in milliseconds.
 *
 * @param heartbeatIntervalMillis the interval at which the daemon that opened a connection sends heartbeats
 * @param idleTimeoutMillis the time without received data after which a connection is closed
 * @param connectTimeoutMillis the timeout for opening a connection
 * @param minBackoffMillis the delay before the first reconnection attempt
 * @param maxBackoffMillis the maximum delay between reconnection attempts
 */
public record PeerTimings(
        long heartbeatIntervalMillis,
        long idleTimeoutMillis,
        int connectTimeoutMillis,
        long minBackoffMillis,
        long maxBackoffMillis) {
    /**
     * Returns the default timings. With 100 daemons, heartbeats every 3 s use 9 KB/s per daemon with TCP/IP headers.
     */
    public static PeerTimings defaults() {
        return new PeerTimings(3_000, 9_000, 2_000, 100, 3_000);
    }
}
