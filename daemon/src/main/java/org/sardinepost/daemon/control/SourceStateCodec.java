package org.sardinepost.daemon.control;

import java.util.Optional;
import org.sardinepost.core.configuration.SectionDelta;
import org.sardinepost.core.configuration.SectionEdit;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.core.membership.SourcePosition;
import org.sardinepost.peer.generated.SourceState;
import org.sardinepost.peer.generated.VmListChange;

/** Encodes VM lists for peer messages: compressed as a whole, or as a change to the list that the peers hold. */
final class SourceStateCodec {
    private SourceStateCodec() {}

    /** Returns the position of the state in a message; one from an earlier release is in the first epoch. */
    static SourcePosition position(SourceState state) {
        return new SourcePosition(state.getEpoch(), state.getRevision());
    }

    static SourcePosition textPosition(SourceState state) {
        return new SourcePosition(state.getConfigurationEpoch(), state.getConfigurationRevision());
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
                : Optional.of(VmListText.of(DeflatedText.inflate(state.getVmListDeflated())));
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
}
