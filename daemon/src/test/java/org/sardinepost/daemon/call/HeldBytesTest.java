package org.sardinepost.daemon.call;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a daemon that runs out of memory, or that counts bytes as held which it has given back. */
final class HeldBytesTest {
    private final HeldBytes account = new HeldBytes(100);

    @Test
    void requestsLeaveAQuarterForAnswers() {
        HeldReservation call = account.open();

        assertThat(call.tryAddForRequest(75)).isTrue();
        assertThat(call.tryAddForRequest(1)).isFalse();
        assertThat(call.tryAddForAnswer(25)).isTrue();
        assertThat(call.tryAddForAnswer(1)).isFalse();
        assertThat(account.usedBytes()).isEqualTo(100);
    }

    @Test
    void theLastHolderGivesEverythingBack() {
        HeldReservation call = account.open();
        call.tryAddForRequest(10);
        call.retain();
        call.tryAddForAnswer(20);
        call.release();
        assertThat(account.usedBytes()).isEqualTo(30);

        call.release();
        assertThat(account.usedBytes()).isEqualTo(0);
    }

    @Test
    void anAnswerThatComesAfterTheEndIsNotHeld() {
        HeldReservation call = account.open();
        call.release();

        assertThat(call.tryAddForAnswer(1)).isFalse();
        call.giveBack(5);
        assertThat(account.usedBytes()).isEqualTo(0);
    }
}
