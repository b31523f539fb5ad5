package org.sardinepost.daemon.http;

/**
 * Finds the end of each request head in a byte stream: the first empty line.
 *
 * <p>A head is strict if a parser cannot find its end earlier: it does not begin with a line break, and every line ends
 * with CR LF. Bodies are scanned like heads, so only the end of a strict head that is followed by no body is known to be
 * the start of another request. Not thread-safe.
 */
final class HeadBoundaryScanner {
    private static final int EMPTY_LINE_LENGTH = 4;

    private int matchedBytes;
    private byte previous;
    private boolean empty = true;
    private boolean strict = true;
    private boolean lastHeadStrict;

    /** Processes the next byte and returns whether it ends a head. */
    boolean accept(byte value) {
        if (empty && (value == '\r' || value == '\n')) {
            strict = false;
        }
        boolean endsLine = value == '\n';
        if (!empty && (previous == '\r') != endsLine) {
            strict = false;
        }
        matchedBytes = nextMatch(value);
        previous = value;
        empty = false;
        if (matchedBytes < EMPTY_LINE_LENGTH) {
            return false;
        }
        lastHeadStrict = strict;
        matchedBytes = 0;
        empty = true;
        strict = true;
        return true;
    }

    /** Returns whether the stream ends with a strict head at this moment. */
    boolean afterStrictHead() {
        return empty && lastHeadStrict;
    }

    private int nextMatch(byte value) {
        if (value == '\r') {
            return matchedBytes == 2 ? 3 : 1;
        }
        if (value == '\n' && (matchedBytes == 1 || matchedBytes == 3)) {
            return matchedBytes + 1;
        }
        return 0;
    }
}
