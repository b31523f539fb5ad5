package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits large bodies for writing. The JDK copies all that it is given to a direct buffer for each write, although a
 * connection accepts only a small part at a time.
 */
final class BodySlices {
    static final int SLICE_BYTES = 64 << 10;

    private BodySlices() {}

    /** Takes the next slice from the body. */
    static ByteBuffer next(ByteBuffer body) {
        int length = Math.min(SLICE_BYTES, body.remaining());
        ByteBuffer slice = body.slice(body.position(), length);
        body.position(body.position() + length);
        return slice;
    }

    /** Returns the slices of a body, at least one. */
    static List<ByteBuffer> of(ByteBuffer body) {
        ByteBuffer rest = body.duplicate();
        List<ByteBuffer> slices = new ArrayList<>();
        do {
            slices.add(next(rest));
        } while (rest.hasRemaining());
        return slices;
    }
}
