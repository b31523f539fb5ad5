package org.sardinepost.daemon.call;

import java.util.OptionalLong;

/** Records since when a client has neither read nor sent what the daemon waits for. Thread-safe. */
final class ClientProgress {
    /** Fewer bytes are no progress: a client could otherwise keep its connection with a byte now and then. */
    private static final int MIN_PROGRESS_BYTES = 1 << 10;

    private final Wait write = new Wait();
    private boolean socketFull;
    /** The responses of streams that are ready and not written completely, for example since their windows are closed. */
    private int unreadResponses;

    private final Wait read = new Wait();

    /** Records that a part of a response was written, and whether more is waiting to be written. */
    synchronized void wrote(long bytes, boolean moreWaits, long nowNanos) {
        socketFull = moreWaits;
        updateWrite(bytes, nowNanos);
    }

    /** Records that the response of a stream is ready to be written. */
    synchronized void streamResponseBegan(long nowNanos) {
        unreadResponses++;
        updateWrite(0, nowNanos);
    }

    /** Records that the response of a stream was written, or will not be. */
    synchronized void streamResponseEnded(long nowNanos) {
        unreadResponses--;
        updateWrite(0, nowNanos);
    }

    private void updateWrite(long bytes, long nowNanos) {
        write.update(bytes, socketFull || unreadResponses > 0, nowNanos);
    }

    /** Records that a part of a request was read that is not complete. */
    synchronized void readPart(long bytes, long nowNanos) {
        read.update(bytes, true, nowNanos);
    }

    synchronized void readWhole() {
        read.waiting = false;
    }

    synchronized OptionalLong waitingSinceNanos() {
        if (write.waiting && read.waiting) {
            return OptionalLong.of(write.sinceNanos - read.sinceNanos < 0 ? write.sinceNanos : read.sinceNanos);
        }
        if (write.waiting) {
            return OptionalLong.of(write.sinceNanos);
        }
        return read.waiting ? OptionalLong.of(read.sinceNanos) : OptionalLong.empty();
    }

    private static final class Wait {
        private boolean waiting;
        private long sinceNanos;
        private long bytes;

        void update(long addedBytes, boolean waits, long nowNanos) {
            bytes += addedBytes;
            if (!waiting || bytes >= MIN_PROGRESS_BYTES) {
                sinceNanos = nowNanos;
                bytes = 0;
            }
            waiting = waits;
        }
    }
}
