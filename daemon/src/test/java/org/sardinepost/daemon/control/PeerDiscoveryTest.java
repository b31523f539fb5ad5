package org.sardinepost.daemon.control;

import static com.google.common.truth.Truth.assertThat;
import static org.sardinepost.daemon.control.TestNode.text;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sardinepost.peer.MessageKind;

/** Guards against daemons that do not find each other, and against a start whose traffic exceeds that of the day. */
@Timeout(120)
final class PeerDiscoveryTest {
    private static final int NODES = 12;
    private static final int INTRODUCERS = 3;
    private static final int MAX_HELLO_BYTES = 100;
    private static final int MAX_ADDRESS_BYTES = 25;

    private final FakePolledSource.Content content = new FakePolledSource.Content();
    private final List<FakeLink> links = new ArrayList<>();
    private final List<TestNode> nodes = new ArrayList<>();

    @AfterEach
    void tearDown() throws Exception {
        for (TestNode node : nodes) {
            node.close();
        }
        for (FakeLink link : links) {
            link.close();
        }
    }

    private TestNode start(FakeLink seed) throws Exception {
        FakeLink link = new FakeLink();
        links.add(link);
        TestNode node =
                TestNode.start(link, new FakePolledSource(content), seed == null ? link.address() : seed.address());
        nodes.add(node);
        return node;
    }

    private void startAll() throws Exception {
        content.text(text(1, "first"));
        start(null);
        for (int i = 1; i < NODES; i++) {
            start(links.get(0));
        }
        for (TestNode node : nodes) {
            node.awaitConnected(NODES - 1);
        }
    }

    private long sentBytes(MessageKind kind) {
        return nodes.stream()
                .mapToLong(node -> node.plane.peerCounters().sentBytes(kind))
                .sum();
    }

    @Test
    void eachDaemonIsToldOfEachOtherAtMostOncePerIntroducer() throws Exception {
        startAll();

        long connections = NODES * (NODES - 1);
        assertThat(sentBytes(MessageKind.HELLO)).isAtMost(2 * connections * MAX_HELLO_BYTES);
        assertThat(sentBytes(MessageKind.PEER_ADDRESSES)).isAtMost(connections * INTRODUCERS * MAX_ADDRESS_BYTES);
    }

    @Test
    void aDaemonWhoseIntroducersStoppedStillLearnsOfLaterDaemons() throws Exception {
        startAll();
        nodes.remove(0).close();
        links.get(0).close();

        start(links.get(1));
        for (TestNode node : nodes) {
            node.awaitConnected(NODES - 1);
        }
    }
}
