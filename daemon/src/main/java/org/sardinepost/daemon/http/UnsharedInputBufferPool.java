package org.sardinepost.daemon.http;

import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.RetainableByteBuffer;

/**
 * A pool that never passes a heap buffer on to another user. Clients read into heap buffers and write from direct ones.
 *
 * <p>Jetty's client may go on parsing a buffer that it has released, for example after interim responses, which it parses from
 * within the parser. With a shared pool, another connection would read into the same buffer at the same time.
 */
final class UnsharedInputBufferPool extends ByteBufferPool.Wrapper {
    UnsharedInputBufferPool() {
        super(new ArrayByteBufferPool());
    }

    @Override
    public RetainableByteBuffer.Mutable acquire(int size, boolean direct) {
        return direct ? super.acquire(size, true) : ByteBufferPool.NON_POOLING.acquire(size, false);
    }
}
