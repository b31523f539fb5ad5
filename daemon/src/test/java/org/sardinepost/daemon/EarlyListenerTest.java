package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
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
    private static final String REQUEST = RawHttpClient.request("GET / HTTP/1.1", "Host: 127.0.0.1");

    private static ScriptedUpstream upstream() throws IOException {
        return ScriptedUpstream.keepingAlive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }

    private static Socket send(ServerSocketChannel listener) throws IOException {
        Socket caller =
                new Socket(InetAddress.getLoopbackAddress(), listener.socket().getLocalPort());
        caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
        return caller;
    }

    private static void start(Daemon daemon, ServerSocketChannel listener, ScriptedUpstream upstream) throws Exception {
        daemon.setCallerListener(listener);
        daemon.apply(new ServicesText(
                1,
                1,
                List.of(Service.builder("127.0.0.1")
                        .external(true)
                        .upstreams(List.of(upstream.upstream()))
                        .build())));
        daemon.start();
    }

    @Test
    void aCallThatArrivesBeforeTheDaemonIsCreatedIsAnswered() throws Exception {
        DaemonSettings settings = TestDaemon.settings().build();
        try (ScriptedUpstream upstream = upstream();
                ServerSocketChannel listener = EarlyListener.bind(settings.callerAddress());
                Socket caller = send(listener)) {
            try (Daemon daemon = new Daemon(settings)) {
                start(daemon, listener, upstream);

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
        try (ScriptedUpstream upstream = upstream();
                ServerSocketChannel listener = EarlyListener.bind(settings.callerAddress())) {
            for (int i = 0; i < 40; i++) {
                send(listener).close();
            }
            try (Daemon daemon = new Daemon(settings)) {
                start(daemon, listener, upstream);
                String response = RawHttpClient.exchange(daemon.callerPort(), REQUEST);
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
