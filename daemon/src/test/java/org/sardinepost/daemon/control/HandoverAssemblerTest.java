package org.sardinepost.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.sardinepost.peer.generated.HandoverFrame;

/** Guards against two holders of one token table, which could dispatch the same request twice. */
class HandoverAssemblerTest {
    private static final long OWN = 7;
    private static final long SENDER = 8;

    private final HandoverAssembler assembler = new HandoverAssembler(OWN);

    @Test
    void assemblesTheImageForThisProcess() {
        assertThat(assembler.add(SENDER, frame(OWN, 0, false))).isEmpty();
        assertThat(assembler.add(SENDER, frame(OWN, 1, true)).orElseThrow()).hasSize(2);
    }

    @Test
    void dropsTheImageForAnEarlierProcessAtThisAddress() {
        assertThat(assembler.add(SENDER, frame(OWN - 1, 0, true))).isEmpty();
    }

    @Test
    void dropsAnImageWithAMissingFrame() {
        assertThat(assembler.add(SENDER, frame(OWN, 0, false))).isEmpty();
        assertThat(assembler.add(SENDER, frame(OWN, 2, true))).isEmpty();
    }

    private static HandoverFrame frame(long target, int index, boolean last) {
        return HandoverFrame.newBuilder()
                .setIncarnation(3)
                .setTargetIncarnation(target)
                .setIndex(index)
                .setLast(last)
                .setContent(ByteString.copyFrom(new byte[1]))
                .build();
    }
}
