package org.sardinepost.daemon.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpParser;

/**
 * Rejects extra bytes between the data of a chunk and the line break after it.
 *
 * <p>Jetty skips such bytes. A proxy in front of the daemon may parse them as a separate request, so that the two would
 * disagree on where a request ends, which allows request smuggling.
 */
final class StrictHttpParser extends HttpParser {
    private final ChunkFramingValidator chunkFraming = new ChunkFramingValidator();

    StrictHttpParser(RequestHandler handler, int maxHeaderBytes, HttpCompliance compliance) {
        super(handler, maxHeaderBytes, compliance);
    }

    @Override
    public void reset() {
        super.reset();
        chunkFraming.reset();
    }

    @Override
    protected boolean parseContent(ByteBuffer buffer) {
        boolean chunked = isParsingChunks();
        int start = buffer.position();
        boolean handled = super.parseContent(buffer);
        if (chunked) {
            for (int i = start; i < buffer.position(); i++) {
                chunkFraming.accept(buffer.get(i));
            }
        }
        return handled;
    }

    private boolean isParsingChunks() {
        return switch (getState()) {
            case CHUNKED_CONTENT, CHUNK_SIZE, CHUNK_PARAMS, CHUNK -> true;
            default -> false;
        };
    }
}
