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

/** Guards against a peer connection that hangs, accepts foreign bytes or talks to the wrong process. */
@Timeout(60)
class PeerTransportTest {
    private static final PeerMessage GOODBYE =
            PeerMessage.newBuilder().setGoodbye(Goodbye.getDefaultInstance()).build();
    private static final PeerTimings SHORT_TIMEOUT = new PeerTimings(50, 300, 1_000, 20, 100);

    private final TestNode first = TestNode.of(1);

    @AfterEach
    void closeFirst() {
        first.close();
    }

    @Nested
    class Messages {
        @Test
        void arriveAndAreCountedByKind() throws Exception {
            try (TestNode second = TestNode.of(2)) {
                PeerClient client = connect(second);
                client.send(GOODBYE).get(20, TimeUnit.SECONDS);
                assertThat(second.awaitMessage()).isEqualTo(GOODBYE);
                assertThat(first.counters().sentBytes(MessageKind.GOODBYE)).isEqualTo(GOODBYE.getSerializedSize());
                assertThat(second.counters().receivedBytes(MessageKind.GOODBYE)).isEqualTo(GOODBYE.getSerializedSize());
            }
        }

        @Test
        void aTextOfOneMegabyteFitsAndALongerFrameIsRefusedBySender() throws Exception {
            try (TestNode second = TestNode.of(2)) {
                PeerClient client = connect(second);
                client.send(parts(1_000_000)).get(20, TimeUnit.SECONDS);
                assertThat(second.awaitMessage()).isEqualTo(parts(1_000_000));
                assertThat(faultOf(client.send(parts(PeerProtocol.MAX_FRAME_BYTES))))
                        .isEqualTo(PeerFault.FRAME_TOO_LONG);
            }
        }

        @Test
        void failAtOnceWithoutConnection() {
            PeerClient client = first.connect(new UpstreamId("127.0.0.1", 1));
            assertThat(faultOf(client.send(GOODBYE))).isEqualTo(PeerFault.NOT_CONNECTED);
        }

        @Test
        void waitingLoadBatchesBecomeOneWithTheNewestLoads() {
            LoadBatch merged = LoadBatches.merge(batch("a", 1, "b", 2), batch("b", 7, "c", 3));
            assertThat(merged).isEqualTo(LoadBatches.merge(batch("a", 1, "b", 7), batch("b", 7, "c", 3)));
            assertThat(merged.getServices(0).getUpstreamsCount()).isEqualTo(3);
        }
    }

    @Nested
    class Refuses {
        @Test
        void anotherProtocolVersionAndBothSidesNameBothVersions() throws Exception {
            try (TestNode second = new TestNode(2, 7, 0, TestNode.timings())) {
                PeerClient client = first.connect(second.address());
                PeerException atFirst = first.awaitFault();
                PeerException atSecond = second.awaitFault();
                client.close();
                assertThat(atFirst.fault()).isEqualTo(PeerFault.VERSION_MISMATCH);
                assertThat(atFirst).hasMessageThat().contains("version 7, this daemon has 1");
                assertThat(atSecond).hasMessageThat().contains("version 1, this daemon has 7");
            }
        }

        @Test
        void randomBytes() throws Exception {
            Random random = new Random(5);
            for (int attempt = 0; attempt < 20; attempt++) {
                byte[] bytes = new byte[64];
                random.nextBytes(bytes);
                // One whole frame whose length is right and whose content is not.
                bytes[0] = 63;
                bytes[1] = 7;
                assertThat(faultAfter(bytes)).isAnyOf(PeerFault.MALFORMED_FRAME, PeerFault.HELLO_MISSING);
            }
        }

        @Test
        void aFrameAboveTheLimit() throws Exception {
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
            connect(second);
            second.close();
            assertThat(first.awaitDisconnected().port()).isEqualTo(port);
            try (TestNode restarted = new TestNode(3, PeerProtocol.VERSION, port, TestNode.timings())) {
                assertThat(first.awaitConnected().getIncarnation()).isEqualTo(3);
                assertThat(restarted.port()).isEqualTo(port);
            }
        }

        @Test
        void aPeerThatStopsAnswering() throws Exception {
            try (TestNode patient = new TestNode(4, PeerProtocol.VERSION, 0, SHORT_TIMEOUT);
                    ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                PeerClient client = patient.connect(new UpstreamId("127.0.0.1", silent.getLocalPort()));
                try (Socket accepted = silent.accept()) {
                    hello(9).writeDelimitedTo(accepted.getOutputStream());
                    assertThat(patient.awaitConnected().getIncarnation()).isEqualTo(9);
                    assertThat(patient.awaitFault().fault()).isEqualTo(PeerFault.HEARTBEAT_TIMEOUT);
                    patient.awaitDisconnected();
                }
                client.close();
            }
        }

        @Test
        void anOpenerThatFallsSilent() throws Exception {
            try (TestNode patient = new TestNode(4, PeerProtocol.VERSION, 0, SHORT_TIMEOUT);
                    Socket socket = new Socket(InetAddress.getLoopbackAddress(), patient.port())) {
                hello(9).writeDelimitedTo(socket.getOutputStream());
                assertThat(patient.awaitFault().fault()).isEqualTo(PeerFault.HEARTBEAT_TIMEOUT);
            }
        }

        @Test
        void nothingWrongWhileHeartbeatsAreReturned() throws Exception {
            try (TestNode patient = new TestNode(4, PeerProtocol.VERSION, 0, TestNode.timings());
                    TestNode second = TestNode.of(2)) {
                PeerClient client = patient.connect(second.address());
                patient.awaitConnected();
                while (patient.counters().receivedMessages(MessageKind.HEARTBEAT) < 3) {
                    Thread.onSpinWait();
                }
                assertThat(patient.counters().faults(PeerFault.HEARTBEAT_TIMEOUT))
                        .isEqualTo(0);
                client.close();
            }
        }
    }

    private PeerClient connect(TestNode other) throws InterruptedException {
        PeerClient client = first.connect(other.address());
        first.awaitConnected();
        return client;
    }

    /** Sends bytes to the first node, waits until it closes the connection, and returns the reported fault. */
    private PeerFault faultAfter(byte[] bytes) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), first.port())) {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
            InputStream in = socket.getInputStream();
            in.transferTo(OutputStream.nullOutputStream());
        } catch (SocketException reset) {
            // The node closed the connection with bytes unread, which resets it.
        }
        return first.awaitFault().fault();
    }

    private static PeerFault faultOf(CompletableFuture<Void> sent) {
        ExecutionException failure = assertThrows(ExecutionException.class, () -> sent.get(20, TimeUnit.SECONDS));
        return ((PeerException) failure.getCause()).fault();
    }

    private static PeerMessage hello(long incarnation) {
        return PeerMessage.newBuilder()
                .setHello(Hello.newBuilder()
                        .setProtocolVersion(PeerProtocol.VERSION)
                        .setIncarnation(incarnation))
                .build();
    }

    private static PeerMessage parts(int length) {
        return PeerMessage.newBuilder()
                .setConfigurationParts(ConfigurationParts.newBuilder().addSections("x".repeat(length)))
                .build();
    }

    private static LoadBatch batch(String one, int oneLoad, String other, int otherLoad) {
        return LoadBatch.newBuilder()
                .addServices(ServiceLoad.newBuilder()
                        .setService("booking")
                        .addUpstreams(UpstreamLoad.newBuilder().setAddress(one).setInFlight(oneLoad))
                        .addUpstreams(
                                UpstreamLoad.newBuilder().setAddress(other).setInFlight(otherLoad)))
                .build();
    }
}
