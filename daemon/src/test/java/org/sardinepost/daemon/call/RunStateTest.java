package org.sardinepost.daemon.call;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.sardinepost.core.call.Outcome;

/** Guards against a request that runs although its caller was told that it was not run. */
final class RunStateTest {
    private final RunState state = new RunState();

    @Test
    void noSendBeginsAfterNotRunWasTold() {
        assertThat(state.seal()).isEqualTo(Outcome.NOT_RUN);
        assertThat(state.beginSend()).isFalse();
    }

    @Test
    void aSendInProgressIsUnknown() {
        state.beginSend();

        assertThat(state.seal()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void oneSendThatMayHaveRunIsRemembered() {
        state.beginSend();
        state.endSend(false);
        state.beginSend();
        state.endSend(true);

        assertThat(state.mayHaveRun()).isTrue();
    }
}
