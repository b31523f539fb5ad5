package org.sardinepost.core.token;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Encodes a {@link TokenImage} into frames for the peer protocol. */
final class TokenImageWriter {
    static final int FORMAT_VERSION = 1;
    static final int MAX_FRAME_BYTES = 1 << 20;
    static final int FRESH = 0;
    static final int UNKNOWN = 1;
    static final int ANSWERED = 2;

    private TokenImageWriter() {}

    static List<byte[]> write(TokenImage image, long nowNanos) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            writeIssuer(image.issuer(), out);
            out.writeInt(image.entries().size());
            for (TokenEntry entry : image.entries()) {
                writeEntry(entry, nowNanos, out);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return splitIntoFrames(bytes.toByteArray());
    }

    private static void writeIssuer(TokenIssuer issuer, DataOutputStream out) throws IOException {
        out.writeByte(FORMAT_VERSION);
        out.writeUTF(issuer.address().toString());
        out.writeLong(issuer.incarnation());
        out.write(issuer.key().secret());
    }

    /**
     * Writes the remaining lifetime instead of the expiry time, because the adopting daemon has a different monotonic
     * clock.
     */
    private static void writeEntry(TokenEntry entry, long nowNanos, DataOutputStream out) throws IOException {
        out.writeLong(entry.sequence());
        out.writeLong(entry.issuedAtNanos());
        out.writeLong(entry.remainingNanos(nowNanos));
        out.writeInt(entry.generation());
        out.writeUTF(entry.fingerprint().map(RequestFingerprint::digest).orElse(""));
        writeState(entry.state(), out);
    }

    private static void writeState(EntryState state, DataOutputStream out) throws IOException {
        if (state instanceof EntryState.Answered answered) {
            out.writeByte(ANSWERED);
            writeResponse(answered.response(), out);
            return;
        }
        out.writeByte(state instanceof EntryState.Fresh ? FRESH : UNKNOWN);
    }

    private static void writeResponse(StoredResponse response, DataOutputStream out) throws IOException {
        out.writeInt(response.status());
        out.writeInt(response.headers().size());
        for (ResponseHeader header : response.headers()) {
            out.writeUTF(header.name());
            out.writeUTF(header.value());
        }
        out.writeInt(response.body().length);
        out.write(response.body());
    }

    private static List<byte[]> splitIntoFrames(byte[] bytes) {
        List<byte[]> frames = new ArrayList<>();
        for (int start = 0; start < bytes.length; start += MAX_FRAME_BYTES) {
            int end = Math.min(bytes.length, start + MAX_FRAME_BYTES);
            frames.add(Arrays.copyOfRange(bytes, start, end));
        }
        return List.copyOf(frames);
    }
}
