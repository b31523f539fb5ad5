package org.sardinepost.daemon.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpParser;

/**
 * Refuses bytes between the data of a chunk and its end.
 *
 * <p>The library skips such bytes. A process in front of the daemon may take them for a request of their own, so that the
 * two would disagree on where a request ends.
 */
final class StrictHttpParser extends HttpParser {
    private final ChunkEndCheck chunks = new ChunkEndCheck();

    StrictHttpParser(RequestHandler handler, int maxHeaderBytes, HttpCompliance compliance) {
        super(handler, maxHeaderBytes, compliance);
    }

    @Override
    public void reset() {
        super.reset();
        chunks.reset();
    }

    @Override
    protected boolean parseContent(ByteBuffer buffer) {
        boolean chunked = inChunks();
        int start = buffer.position();
        boolean handled = super.parseContent(buffer);
        if (chunked) {
            for (int i = start; i < buffer.position(); i++) {
                chunks.next(buffer.get(i));
            }
        }
        return handled;
    }

    private boolean inChunks() {
        return switch (getState()) {
            case CHUNKED_CONTENT, CHUNK_SIZE, CHUNK_PARAMS, CHUNK -> true;
            default -> false;
        };
    }
}
