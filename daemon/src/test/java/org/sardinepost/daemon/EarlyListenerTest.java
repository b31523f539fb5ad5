package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;

/** Guards against callers whose connections are refused while a daemon starts. */
@Timeout(60)
final class EarlyListenerTest {
    @Test
    void aCallThatArrivesBeforeTheDaemonIsCreatedIsAnswered() throws Exception {
        DaemonSettings settings = TestDaemon.settings().build();
        try (ScriptedUpstream upstream =
                        ScriptedUpstream.keepingAlive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                ServerSocketChannel listener = EarlyListener.bind(settings.callerAddress());
                Socket caller = new Socket(
                        InetAddress.getLoopbackAddress(), listener.socket().getLocalPort())) {
            String request = RawHttpClient.request("GET / HTTP/1.1", "Host: 127.0.0.1");
            caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            try (Daemon daemon = new Daemon(settings)) {
                daemon.setCallerListener(listener);
                daemon.apply(new ServicesText(
                        1,
                        1,
                        List.of(Service.builder("127.0.0.1")
                                .external(true)
                                .upstreams(List.of(upstream.upstream()))
                                .build())));
                daemon.start();

                assertThat(daemon.callerPort()).isEqualTo(listener.socket().getLocalPort());
                String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                assertThat(response).endsWith("ok");
            }
        }
    }

    /** Guards against work for callers that gave up while the daemon started. */
    @Test
    void callsWhoseCallersHaveLeftAreNotDispatched() throws Exception {
        DaemonSettings settings = TestDaemon.settings().build();
        String request = RawHttpClient.request("GET / HTTP/1.1", "Host: 127.0.0.1");
        try (ScriptedUpstream upstream =
                        ScriptedUpstream.keepingAlive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                ServerSocketChannel listener = EarlyListener.bind(settings.callerAddress())) {
            int port = listener.socket().getLocalPort();
            for (int i = 0; i < 40; i++) {
                try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
            try (Daemon daemon = new Daemon(settings)) {
                daemon.setCallerListener(listener);
                daemon.apply(new ServicesText(
                        1,
                        1,
                        List.of(Service.builder("127.0.0.1")
                                .external(true)
                                .upstreams(List.of(upstream.upstream()))
                                .build())));
                daemon.start();
                String response = RawHttpClient.exchange(port, request);
                Thread.sleep(300);

                assertThat(response).endsWith("ok");
                assertThat(upstream.requestHeads()).hasSize(1);
            }
        }
    }

    @Test
    void anAddressInUseIsReported() throws Exception {
        try (ServerSocketChannel first = EarlyListener.bind(new UpstreamId("127.0.0.1", 0))) {
            UpstreamId taken = new UpstreamId("127.0.0.1", first.socket().getLocalPort());

            assertThrows(BindException.class, () -> EarlyListener.bind(taken));
        }
    }
}
