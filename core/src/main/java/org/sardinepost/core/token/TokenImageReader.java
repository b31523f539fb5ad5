package org.sardinepost.core.token;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.sardinepost.core.routing.UpstreamId;

/** Decodes a {@link TokenImage} from its frames. */
final class TokenImageReader {
    private static final String REMEDY = "; check that both daemons run releases with the same image format";

    private TokenImageReader() {}

    static TokenImage read(List<byte[]> frames, long nowNanos) {
        List<InputStream> streams = new ArrayList<>();
        frames.forEach(frame -> streams.add(new ByteArrayInputStream(frame)));
        InputStream concatenated = new SequenceInputStream(Collections.enumeration(streams));
        try (DataInputStream in = new DataInputStream(concatenated)) {
            return readImage(in, nowNanos);
        } catch (IOException e) {
            throw new HandoverException("the token table image cannot be read: " + e.getMessage() + REMEDY, e);
        }
    }

    private static TokenImage readImage(DataInputStream in, long nowNanos) throws IOException {
        TokenIssuer issuer = readIssuer(in);
        int count = in.readInt();
        List<TokenEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(readEntry(in, nowNanos));
        }
        if (in.read() >= 0) {
            throw new IOException("unexpected bytes after the last entry");
        }
        return new TokenImage(issuer, entries);
    }

    private static TokenIssuer readIssuer(DataInputStream in) throws IOException {
        int version = in.readUnsignedByte();
        if (version != TokenImageWriter.FORMAT_VERSION) {
            throw new IOException("format version " + version + " is not supported, this daemon reads "
                    + TokenImageWriter.FORMAT_VERSION);
        }
        Optional<UpstreamId> address = UpstreamId.parse(in.readUTF());
        long incarnation = in.readLong();
        byte[] secret = in.readNBytes(IncarnationKey.LENGTH_BYTES);
        if (address.isEmpty() || secret.length != IncarnationKey.LENGTH_BYTES) {
            throw new IOException("the address or the key of the issuer is malformed");
        }
        return new TokenIssuer(address.get(), incarnation, new IncarnationKey(secret));
    }

    private static TokenEntry readEntry(DataInputStream in, long nowNanos) throws IOException {
        long sequence = in.readLong();
        long issuedAtNanos = in.readLong();
        long remainingNanos = in.readLong();
        int generation = in.readInt();
        Optional<RequestFingerprint> fingerprint =
                Optional.of(in.readUTF()).filter(digest -> !digest.isEmpty()).map(RequestFingerprint::new);
        EntryState state = readState(in);
        return new TokenEntry(sequence, issuedAtNanos, nowNanos + remainingNanos, generation, fingerprint, state);
    }

    private static EntryState readState(DataInputStream in) throws IOException {
        int state = in.readUnsignedByte();
        return switch (state) {
            case TokenImageWriter.FRESH -> new EntryState.Fresh();
            case TokenImageWriter.UNKNOWN -> new EntryState.Unknown();
            case TokenImageWriter.ANSWERED -> new EntryState.Answered(readResponse(in));
            default -> throw new IOException("entry state " + state + " is unknown");
        };
    }

    private static StoredResponse readResponse(DataInputStream in) throws IOException {
        int status = in.readInt();
        int count = in.readInt();
        List<ResponseHeader> headers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            headers.add(new ResponseHeader(in.readUTF(), in.readUTF()));
        }
        int length = in.readInt();
        byte[] body = in.readNBytes(length);
        if (body.length != length) {
            throw new IOException("the body of a stored response is truncated");
        }
        return new StoredResponse(status, headers, body);
    }
}
