package org.sardinepost.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;

/** Guards against telling peers that the source was disturbed when only this daemon was. */
final class SourceDisturbancesTest {
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
        disturbances.historyLost(4);

        assertThat(recorded).containsExactly(4L);
        assertThat(disturbances.lastCertainNanos()).hasValue(4L);
    }

    @Test
    void unansweredReadIsEvidenceForThisDaemonOnly() {
        disturbances.readFailed(new TimeoutException(), 5);

        assertThat(recorded).containsExactly(5L);
        assertThat(disturbances.lastCertainNanos()).isEmpty();
    }

    @Test
    void reportOfAPeerIsPassedOn() {
        disturbances.reportedByPeer(9);
        disturbances.reportedByPeer(7);

        assertThat(recorded).containsExactly(9L, 7L).inOrder();
        assertThat(disturbances.lastCertainNanos()).hasValue(9L);
    }
}
