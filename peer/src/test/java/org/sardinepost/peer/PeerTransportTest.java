package org.sardinepost.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.ConfigurationParts;
import org.sardinepost.peer.generated.Goodbye;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.ServiceLoad;
import org.sardinepost.peer.generated.UpstreamLoad;

/** Guards against peer connections that hang, accept data of other protocols or connect to the wrong process. */
@Timeout(60)
class PeerTransportTest {
    private static final PeerMessage GOODBYE =
            PeerMessage.newBuilder().setGoodbye(Goodbye.getDefaultInstance()).build();
    private static final PeerTimings SHORT_IDLE_TIMEOUT = new PeerTimings(50, 300, 1_000, 20, 100);

    private final TestNode first = TestNode.of(1);

    @AfterEach
    void closeFirst() {
        first.close();
    }

    @Nested
    class Messages {
        @Test
        void areDeliveredAndCountedByKind() throws Exception {
            try (TestNode second = TestNode.of(2)) {
                PeerClient client = connectFirstTo(second);
                client.send(GOODBYE).get(20, TimeUnit.SECONDS);
                assertThat(second.awaitMessage()).isEqualTo(GOODBYE);
                assertThat(first.counters().sentBytes(MessageKind.GOODBYE)).isEqualTo(GOODBYE.getSerializedSize());
                assertThat(second.counters().receivedBytes(MessageKind.GOODBYE)).isEqualTo(GOODBYE.getSerializedSize());
            }
        }

        @Test
        void ofOneMegabyteAreDeliveredAndOversizedOnesFailAtTheSender() throws Exception {
            try (TestNode second = TestNode.of(2)) {
                PeerClient client = connectFirstTo(second);
                client.send(partsMessage(1_000_000)).get(20, TimeUnit.SECONDS);
                assertThat(second.awaitMessage()).isEqualTo(partsMessage(1_000_000));
                assertThat(faultOf(client.send(partsMessage(PeerProtocol.MAX_FRAME_BYTES))))
                        .isEqualTo(PeerFault.FRAME_TOO_LONG);
            }
        }

        @Test
        void failImmediatelyWithoutConnection() {
            PeerClient client = first.connect(new UpstreamId("127.0.0.1", 1));
            assertThat(faultOf(client.send(GOODBYE))).isEqualTo(PeerFault.NOT_CONNECTED);
        }

        @Test
        void pendingLoadBatchesAreMergedWithTheNewestLoads() {
            LoadBatch merged = LoadBatches.merge(loadBatch("a", 1, "b", 2), loadBatch("b", 7, "c", 3));
            assertThat(merged).isEqualTo(LoadBatches.merge(loadBatch("a", 1, "b", 7), loadBatch("b", 7, "c", 3)));
            assertThat(merged.getServices(0).getUpstreamsCount()).isEqualTo(3);
        }
    }

    @Nested
    class Rejects {
        @Test
        void anotherProtocolVersionAndBothDaemonsReportBothVersions() throws Exception {
            try (TestNode second = new TestNode(2, 7, 0, TestNode.timings())) {
                PeerClient client = first.connect(second.address());
                PeerException firstFault = first.awaitFault();
                PeerException secondFault = second.awaitFault();
                client.close();
                assertThat(firstFault.fault()).isEqualTo(PeerFault.VERSION_MISMATCH);
                assertThat(firstFault).hasMessageThat().contains("version 7, this daemon has 1");
                assertThat(secondFault).hasMessageThat().contains("version 1, this daemon has 7");
            }
        }

        @Test
        void randomBytes() throws Exception {
            Random random = new Random(5);
            for (int attempt = 0; attempt < 20; attempt++) {
                byte[] bytes = new byte[64];
                random.nextBytes(bytes);
                // One complete frame with a valid length and invalid content.
                bytes[0] = 63;
                bytes[1] = 7;
                assertThat(faultAfter(bytes)).isAnyOf(PeerFault.MALFORMED_FRAME, PeerFault.HELLO_MISSING);
            }
        }

        @Test
        void anOversizedFrame() throws Exception {
            assertThat(faultAfter(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, 0x7f}))
                    .isEqualTo(PeerFault.FRAME_TOO_LONG);
        }

        @Test
        void anHttpRequest() throws Exception {
            byte[] request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(4).getBytes(StandardCharsets.US_ASCII);
            assertThat(faultAfter(request)).isAnyOf(PeerFault.MALFORMED_FRAME, PeerFault.HELLO_MISSING);
        }

        @Test
        void aConnectionToItself() throws Exception {
            PeerClient client = first.connect(first.address());
            assertThat(first.awaitFault().fault()).isEqualTo(PeerFault.OWN_INCARNATION);
            client.close();
        }
    }

    @Nested
    class Detects {
        @Test
        void aRestartedPeerAtTheSameAddress() throws Exception {
            TestNode second = TestNode.of(2);
            int port = second.port();
            connectFirstTo(second);
            second.close();
            assertThat(first.awaitDisconnected().port()).isEqualTo(port);
            try (TestNode restarted = new TestNode(3, PeerProtocol.VERSION, port, TestNode.timings())) {
                assertThat(first.awaitConnected().getIncarnation()).isEqualTo(3);
                assertThat(restarted.port()).isEqualTo(port);
            }
        }

        @Test
        void aPeerThatStopsResponding() throws Exception {
            try (TestNode node = new TestNode(4, PeerProtocol.VERSION, 0, SHORT_IDLE_TIMEOUT);
                    ServerSocket serverSocket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                PeerClient client = node.connect(new UpstreamId("127.0.0.1", serverSocket.getLocalPort()));
                try (Socket accepted = serverSocket.accept()) {
                    helloMessage(9).writeDelimitedTo(accepted.getOutputStream());
                    assertThat(node.awaitConnected().getIncarnation()).isEqualTo(9);
                    assertThat(node.awaitFault().fault()).isEqualTo(PeerFault.HEARTBEAT_TIMEOUT);
                    node.awaitDisconnected();
                }
                client.close();
            }
        }

        @Test
        void aConnectingPeerThatStopsSending() throws Exception {
            try (TestNode node = new TestNode(4, PeerProtocol.VERSION, 0, SHORT_IDLE_TIMEOUT);
                    Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port())) {
                helloMessage(9).writeDelimitedTo(socket.getOutputStream());
                assertThat(node.awaitFault().fault()).isEqualTo(PeerFault.HEARTBEAT_TIMEOUT);
            }
        }

        @Test
        void noTimeoutWhileHeartbeatsAreReturned() throws Exception {
            try (TestNode node = new TestNode(4, PeerProtocol.VERSION, 0, TestNode.timings());
                    TestNode second = TestNode.of(2)) {
                PeerClient client = node.connect(second.address());
                node.awaitConnected();
                while (node.counters().receivedMessages(MessageKind.HEARTBEAT) < 3) {
                    Thread.onSpinWait();
                }
                assertThat(node.counters().faults(PeerFault.HEARTBEAT_TIMEOUT)).isEqualTo(0);
                client.close();
            }
        }
    }

    private PeerClient connectFirstTo(TestNode node) throws InterruptedException {
        PeerClient client = first.connect(node.address());
        first.awaitConnected();
        return client;
    }

    /** Sends bytes to the first node, waits until it closes the connection, and returns the fault that it reported. */
    private PeerFault faultAfter(byte[] bytes) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), first.port())) {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
            InputStream in = socket.getInputStream();
            in.transferTo(OutputStream.nullOutputStream());
        } catch (SocketException reset) {
            // Expected: closing a socket with unread data resets the connection.
        }
        return first.awaitFault().fault();
    }

    private static PeerFault faultOf(CompletableFuture<Void> sent) {
        ExecutionException failure = assertThrows(ExecutionException.class, () -> sent.get(20, TimeUnit.SECONDS));
        return ((PeerException) failure.getCause()).fault();
    }

    private static PeerMessage helloMessage(long incarnation) {
        return PeerMessage.newBuilder()
                .setHello(Hello.newBuilder()
                        .setProtocolVersion(PeerProtocol.VERSION)
                        .setIncarnation(incarnation))
                .build();
    }

    private static PeerMessage partsMessage(int length) {
        return PeerMessage.newBuilder()
                .setConfigurationParts(ConfigurationParts.newBuilder().addSections("x".repeat(length)))
                .build();
    }

    private static LoadBatch loadBatch(String firstAddress, int firstLoad, String secondAddress, int secondLoad) {
        return LoadBatch.newBuilder()
                .addServices(ServiceLoad.newBuilder()
                        .setService("booking")
                        .addUpstreams(UpstreamLoad.newBuilder()
                                .setAddress(firstAddress)
                                .setInFlight(firstLoad))
                        .addUpstreams(UpstreamLoad.newBuilder()
                                .setAddress(secondAddress)
                                .setInFlight(secondLoad)))
                .build();
    }
}
