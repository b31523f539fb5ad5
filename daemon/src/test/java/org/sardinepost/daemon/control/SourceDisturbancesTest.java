package org.sardinepost.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;

/** Guards against telling peers that the source was disturbed when only this daemon was. */
final class SourceDisturbancesTest {
    private static final long MILLIS = 1_000_000L;

    private final List<Long> recorded = new ArrayList<>();
    private final SourceDisturbances disturbances = new SourceDisturbances(recorded::add);

    @Test
    void errorResponseIsReportedToPeers() {
        disturbances.readFailed(new SourceException("status 503; wait until the source is up again"), 5);

        assertThat(recorded).containsExactly(5L);
        assertThat(disturbances.lastCertainNanos()).hasValue(5L);
    }

    @Test
    void lostHistoryIsReportedToPeers() {
        disturbances.readCompleted(true, 0, 4 * MILLIS);

        assertThat(disturbances.lastCertainNanos()).hasValue(4 * MILLIS);
    }

    @Test
    void unansweredOrSlowReadIsEvidenceForThisDaemonOnly() {
        disturbances.readFailed(new TimeoutException(), 5);
        disturbances.readCompleted(false, 0, 300 * MILLIS);

        assertThat(recorded).containsExactly(5L, 300 * MILLIS).inOrder();
        assertThat(disturbances.lastCertainNanos()).isEmpty();
    }

    @Test
    void usualReadIsNoEvidence() {
        disturbances.readCompleted(false, 0, 20 * MILLIS);

        assertThat(recorded).isEmpty();
    }

    @Test
    void reportOfAPeerIsPassedOn() {
        disturbances.reportedByPeer(9);
        disturbances.reportedByPeer(7);

        assertThat(recorded).containsExactly(9L, 7L).inOrder();
        assertThat(disturbances.lastCertainNanos()).hasValue(9L);
    }
}
