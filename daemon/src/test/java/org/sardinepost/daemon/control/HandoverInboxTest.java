package org.sardinepost.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.sardinepost.peer.generated.HandoverFrame;

/** Guards against a token table with two holders, which could both dispatch a request. */
class HandoverInboxTest {
    private static final long OWN = 7;
    private static final long SENDER = 8;

    private final HandoverInbox inbox = new HandoverInbox(OWN);

    @Test
    void takesTheImageForThisProcess() {
        assertThat(inbox.add(SENDER, frame(OWN, 0, false))).isEmpty();
        assertThat(inbox.add(SENDER, frame(OWN, 1, true)).orElseThrow()).hasSize(2);
    }

    @Test
    void dropsTheImageForAnEarlierProcessAtThisAddress() {
        assertThat(inbox.add(SENDER, frame(OWN - 1, 0, true))).isEmpty();
    }

    @Test
    void dropsAnImageWithAMissingFrame() {
        assertThat(inbox.add(SENDER, frame(OWN, 0, false))).isEmpty();
        assertThat(inbox.add(SENDER, frame(OWN, 2, true))).isEmpty();
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
