package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.sardinepost.core.configuration.SectionDelta;
import org.sardinepost.core.configuration.SectionEdit;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.peer.generated.SourceState;
import org.sardinepost.peer.generated.VmListChange;

/** Encodes VM lists for peer messages: compressed as a whole, or as a change to the list that the peers hold. */
final class SourceStateCodec {
    /** Bounds the memory that a malformed message can occupy; several times the size of the largest VM list. */
    private static final int MAX_VM_LIST_BYTES = 4 << 20;

    private SourceStateCodec() {}

    static ByteString compress(String vmList) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(compressed)) {
            deflater.write(vmList.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return ByteString.copyFrom(compressed.toByteArray());
    }

    static VmListChange encodeChange(VmListText base, VmListText changed) {
        VmListChange.Builder change = VmListChange.newBuilder().setBaseDigest(Digests.toWire(base.digest()));
        SectionDelta.between(base.content(), changed.content()).edits().forEach(edit -> change.addEditsBuilder()
                .setFirst(edit.first())
                .setCount(edit.count())
                .setInserted(edit.inserted()));
        return change.build();
    }

    /**
     * Returns the VM list that a message contains.
     *
     * <p>Returns empty if the message contains none, or a change to a list that this daemon does not hold.
     *
     * @param held the VM list that this daemon holds
     * @throws SourceException if the list in the message is malformed
     */
    static Optional<VmListText> decode(SourceState state, Optional<VmListText> held) {
        Optional<VmListText> decoded = state.getVmListDeflated().isEmpty()
                ? held.filter(base -> state.hasVmListChange())
                        .flatMap(base -> applyChange(state.getVmListChange(), base))
                : Optional.of(VmListText.of(decompress(state.getVmListDeflated())));
        TextDigest expected = Digests.fromWire(state.getVmListDigest());
        return decoded.filter(vmList -> vmList.digest().equals(expected));
    }

    private static Optional<VmListText> applyChange(VmListChange change, VmListText base) {
        if (!base.digest().equals(Digests.fromWire(change.getBaseDigest()))) {
            return Optional.empty();
        }
        SectionDelta delta = new SectionDelta(change.getEditsList().stream()
                .map(edit -> new SectionEdit(edit.getFirst(), edit.getCount(), edit.getInserted()))
                .toList());
        return delta.apply(base.content()).map(VmListText::of);
    }

    private static String decompress(ByteString deflated) {
        try (InflaterInputStream inflater = new InflaterInputStream(deflated.newInput())) {
            byte[] content = inflater.readNBytes(MAX_VM_LIST_BYTES);
            if (content.length == MAX_VM_LIST_BYTES) {
                throw new SourceException("a peer sent a VM list of more than " + MAX_VM_LIST_BYTES
                        + " bytes; install the same release on all daemons");
            }
            return new String(content, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new SourceException(
                    "a peer sent a VM list that cannot be decompressed; install the same release on all daemons", e);
        }
    }
}
