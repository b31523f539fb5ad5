package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.TokenMode;

/** Guards against requests that run twice, retries that multiply by level, and outcomes that claim too much. */
final class RetryTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Service Unavailable\r\nSardinepost-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String FAILED_DEEPER =
            "HTTP/1.1 503 Service Unavailable\r\nSardinepost-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";

    /** The first upstream is chosen first, since only it is in the failure domain of the daemon. */
    private static String call(String method, double retryShare, Upstream first, Upstream... others) throws Exception {
        List<Upstream> upstreams = new ArrayList<>(List.of(first));
        Arrays.stream(others)
                .map(other -> new Upstream(other.id(), "elsewhere"))
                .forEach(upstreams::add);
        Service service = Service.builder("catalogue")
                .external(true)
                .tokens(TokenMode.OPTIONAL)
                .retryBudgetShare(retryShare)
                .upstreams(upstreams)
                .build();
        try (Daemon daemon = TestDaemon.start(TestDaemon.settings(), service)) {
            return RawCaller.exchange(
                    daemon.callerPort(),
                    RawCaller.request(method + " / HTTP/1.1", "Host: catalogue", "Content-Length: 0"));
        }
    }

    private static Upstream refusingConnections() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Upstream(new UpstreamId("127.0.0.1", socket.getLocalPort()), "test-1");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {UNAVAILABLE, NOT_RUN, "", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"})
    void idempotentRequestGoesToAnotherUpstream(String firstAnswer) throws Exception {
        try (ScriptedUpstream first = ScriptedUpstream.closing(firstAnswer);
                ScriptedUpstream second = ScriptedUpstream.keepingConnection(OK)) {
            assertThat(call("GET", 1.0, first.upstream(), second.upstream())).endsWith("\r\n\r\nok");
            assertThat(first.heads()).hasSize(1);
            assertThat(second.heads()).hasSize(1);
            assertThat(second.heads().get(0)).contains("attempts=2");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {UNAVAILABLE, "", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"})
    void otherRequestThatMayHaveRunIsSentOnce(String firstAnswer) throws Exception {
        try (ScriptedUpstream first = ScriptedUpstream.closing(firstAnswer);
                ScriptedUpstream second = ScriptedUpstream.keepingConnection(OK)) {
            String received = call("POST", 1.0, first.upstream(), second.upstream());

            assertThat(received).doesNotContain("\r\nSardinepost-Outcome: not-run\r\n");
            assertThat(first.heads()).hasSize(1);
            assertThat(second.heads()).isEmpty();
        }
    }

    @Test
    void otherRequestThatTheUpstreamRefusedGoesToAnother() throws Exception {
        try (ScriptedUpstream first = ScriptedUpstream.keepingConnection(NOT_RUN);
                ScriptedUpstream second = ScriptedUpstream.keepingConnection(OK)) {
            assertThat(call("POST", 1.0, first.upstream(), second.upstream())).endsWith("\r\n\r\nok");
        }
    }

    @Test
    void otherRequestThatWasNotWrittenGoesToAnother() throws Exception {
        try (ScriptedUpstream second = ScriptedUpstream.keepingConnection(OK)) {
            assertThat(call("POST", 1.0, refusingConnections(), second.upstream()))
                    .endsWith("\r\n\r\nok");
        }
    }

    @Test
    void onlyTheLevelNextToTheFailureRetries() throws Exception {
        try (ScriptedUpstream first = ScriptedUpstream.keepingConnection(FAILED_DEEPER);
                ScriptedUpstream second = ScriptedUpstream.keepingConnection(OK)) {
            String received = call("GET", 1.0, first.upstream(), second.upstream());

            assertThat(received).startsWith("HTTP/1.1 503 ");
            assertThat(received).contains("\r\nSardinepost-Outcome: answered\r\n");
            assertThat(second.heads()).isEmpty();
        }
    }

    @Test
    void theBudgetLimitsRetries() throws Exception {
        try (ScriptedUpstream first = ScriptedUpstream.keepingConnection(UNAVAILABLE);
                ScriptedUpstream second = ScriptedUpstream.keepingConnection(OK)) {
            assertThat(call("GET", 0.0, first.upstream(), second.upstream())).startsWith("HTTP/1.1 503 ");
            assertThat(second.heads()).isEmpty();
        }
    }

    @Test
    void refusalsOfEveryUpstreamAreNotRun() throws Exception {
        try (ScriptedUpstream only = ScriptedUpstream.keepingConnection(NOT_RUN)) {
            String received = call("POST", 1.0, only.upstream());

            assertThat(received).contains("\r\nSardinepost-Reason: upstream-refused\r\n");
            assertThat(received).contains("\r\nSardinepost-Outcome: not-run\r\n");
        }
    }

    @Test
    void refusalAfterASendThatMayHaveRunIsUnknown() throws Exception {
        try (ScriptedUpstream first = ScriptedUpstream.closing("");
                ScriptedUpstream second = ScriptedUpstream.keepingConnection(NOT_RUN)) {
            assertThat(call("GET", 1.0, first.upstream(), second.upstream()))
                    .contains("\r\nSardinepost-Outcome: unknown\r\n");
        }
    }
}
