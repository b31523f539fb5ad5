package org.sardinepost.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.RetainableByteBuffer;
import org.junit.jupiter.api.Test;

/** Guards against two connections that read into one buffer, so that a response is lost or taken for another one. */
final class UnsharedInputBufferPoolTest {
    private static final int SIZE = 4 << 10;

    private static ByteBuffer acquireAndRelease(ByteBufferPool pool, boolean direct) {
        RetainableByteBuffer buffer = pool.acquire(SIZE, direct);
        ByteBuffer bytes = buffer.getByteBuffer();
        buffer.release();
        return bytes;
    }

    @Test
    void releasedInputBuffersAreNotUsedAgain() {
        ByteBufferPool pool = new UnsharedInputBufferPool();
        ByteBuffer released = acquireAndRelease(pool, false);

        assertThat(pool.acquire(SIZE, false).getByteBuffer()).isNotSameInstanceAs(released);
    }

    @Test
    void releasedOutputBuffersAreUsedAgain() {
        ByteBufferPool pool = new UnsharedInputBufferPool();
        ByteBuffer released = acquireAndRelease(pool, true);

        assertThat(pool.acquire(SIZE, true).getByteBuffer()).isSameInstanceAs(released);
    }
}
