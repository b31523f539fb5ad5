package org.sardinepost.daemon.call;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.sardinepost.core.call.Outcome;

/** Guards against a request that is executed although the caller was told that it was not run. */
final class RunStateTest {
    private final RunState state = new RunState();

    @Test
    void noSendBeginsAfterNotRunIsReported() {
        assertThat(state.preventSends()).isEqualTo(Outcome.NOT_RUN);
        assertThat(state.beginSend()).isFalse();
    }

    @Test
    void sendInProgressHasUnknownOutcome() {
        state.beginSend();

        assertThat(state.preventSends()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void laterNotRunSendKeepsMayHaveRun() {
        state.beginSend();
        state.endSend(false);
        state.beginSend();
        state.endSend(true);

        assertThat(state.mayHaveRun()).isTrue();
    }
}
