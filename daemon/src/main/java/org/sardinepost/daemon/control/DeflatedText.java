package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses texts in peer messages. */
final class DeflatedText {
    /** Bounds the memory that a malformed message can occupy; several times the size of the largest text. */
    private static final int MAX_BYTES = 4 << 20;

    private DeflatedText() {}

    static ByteString deflate(String text) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(compressed)) {
            deflater.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return ByteString.copyFrom(compressed.toByteArray());
    }

    /**
     * Returns the text that was compressed.
     *
     * @throws SourceException if the bytes are no compressed text
     */
    static String inflate(ByteString deflated) {
        try (InflaterInputStream inflater = new InflaterInputStream(deflated.newInput())) {
            byte[] content = inflater.readNBytes(MAX_BYTES);
            if (content.length == MAX_BYTES) {
                throw new SourceException("a peer sent a text of more than " + MAX_BYTES
                        + " bytes; install the same release on all daemons");
            }
            return new String(content, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new SourceException(
                    "a peer sent a text that cannot be decompressed; install the same release on all daemons", e);
        }
    }
}
