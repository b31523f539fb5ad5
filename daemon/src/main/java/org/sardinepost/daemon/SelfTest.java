package org.sardinepost.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Server;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.daemon.admin.AdminHandler;
import org.sardinepost.daemon.admin.Readiness;
import org.sardinepost.daemon.admin.StatusPage;

/**
 * Starts two daemons and an upstream on free loopback ports, sends calls to each daemon and stops them.
 *
 * <p>Verifies that an installation is complete. The classes that it loads also define the class data sharing archive, so it
 * follows the path of a real start: settings, services text and VM list from files, and upstream slots assigned by a peer.
 */
final class SelfTest {
    private static final int CALLS = 20;
    private static final long CALL_TIMEOUT_SECONDS = 10;

    /** A start takes about one second on a busy machine; the timeout is far above that. */
    private static final long START_TIMEOUT_SECONDS = 30;

    private static final long START_POLL_MILLIS = 50;
    private static final String SERVICE = "self-test";
    private static final UpstreamId ANY_PORT = new UpstreamId("127.0.0.1", 0);

    private final Function<DaemonSettings, Daemon> daemonFactory;

    SelfTest(Function<DaemonSettings, Daemon> daemonFactory) {
        this.daemonFactory = daemonFactory;
    }

    /** Runs the test and returns whether every call succeeded. */
    boolean passes() throws Exception {
        Path directory = Files.createTempDirectory("sardinepost-self-test");
        try {
            return passes(directory);
        } finally {
            delete(directory);
        }
    }

    private boolean passes(Path directory) throws Exception {
        Server upstream = AdminServerFactory.create(
                ANY_PORT, new AdminHandler(new Readiness(), new StatusPage(), new PrometheusRegistry()));
        upstream.start();
        try {
            write(directory, "services.ini", servicesText());
            write(directory, "vms.ini", vmList(upstream.getURI().getPort()));
            DaemonSettings settings = settings(directory);
            return passes(settings);
        } finally {
            upstream.stop();
        }
    }

    private boolean passes(DaemonSettings settings) throws Exception {
        try (Daemon first = daemonFactory.apply(onAnyPorts(settings, List.of()))) {
            first.start();
            List<UpstreamId> peers = List.of(first.controlPlane().peerAddress());
            try (Daemon second = daemonFactory.apply(onAnyPorts(settings, peers))) {
                second.start();
                return servesCalls(first) && servesCalls(second);
            }
        }
    }

    /**
     * Replaces the addresses in the settings. Binding port 0 leaves the choice to the kernel, whereas a free port that is
     * found beforehand may be taken before it is bound.
     */
    private static DaemonSettings onAnyPorts(DaemonSettings settings, List<UpstreamId> peers) {
        return DaemonSettings.builder()
                .callerAddress(ANY_PORT)
                .adminAddress(ANY_PORT)
                .peerAddress(ANY_PORT)
                .failureDomain(settings.failureDomain())
                .region(settings.region())
                .placement(settings.placement())
                .configuration(settings.configuration())
                .vms(settings.vms())
                .peers(peers)
                .build();
    }

    private static boolean servesCalls(Daemon daemon) throws Exception {
        HttpClient client = new HttpClient();
        client.start();
        try {
            if (!servesFirstCall(client, daemon.callerPort())) {
                return false;
            }
            for (int i = 0; i < CALLS; i++) {
                if (!servesCall(client, daemon.callerPort())) {
                    return false;
                }
            }
            return true;
        } finally {
            client.stop();
        }
    }

    /** Retries until a call succeeds, because calls between reading the services text and the VM list are refused. */
    private static boolean servesFirstCall(HttpClient client, int port) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
        while (System.nanoTime() - deadlineNanos < 0) {
            if (servesCall(client, port)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(START_POLL_MILLIS);
        }
        return false;
    }

    private static boolean servesCall(HttpClient client, int port) throws Exception {
        ContentResponse response = client.newRequest("127.0.0.1", port)
                .path("/healthz")
                .headers(headers -> headers.put(HttpHeader.HOST, SERVICE))
                .timeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .send();
        return response.getStatus() == HttpStatus.OK_200;
    }

    /** Reads settings from a file like a real start. Their addresses are not used. */
    private static DaemonSettings settings(Path directory) throws IOException {
        Path file = write(
                directory,
                "daemon.ini",
                String.join(
                        "\n",
                        "[daemon]",
                        "caller-address = 127.0.0.1:1",
                        "admin-address = 127.0.0.1:2",
                        "peer-address = 127.0.0.1:3",
                        "failure-domain = local",
                        "region = local",
                        "placement = shared",
                        "[configuration]",
                        "source = file",
                        "file = " + directory.resolve("services.ini"),
                        "[vms]",
                        "source = file",
                        "file = " + directory.resolve("vms.ini"),
                        ""));
        StartupFiles startupFiles = StartupFiles.read(file);
        return startupFiles
                .settings()
                .orElseThrow(() ->
                        new IllegalStateException("the self-test settings are invalid: " + startupFiles.findings()));
    }

    private static String servicesText() {
        return String.join(
                "\n",
                "[text]",
                "version = 1",
                "[service " + SERVICE + "]",
                "external = true",
                "tokens = optional",
                "health-path = /healthz",
                "[route all]",
                "host = " + SERVICE,
                "path-prefix = /",
                "services = " + SERVICE,
                "idempotent = true",
                "attempts = 2",
                "time-limit = 5s",
                "");
    }

    private static String vmList(int upstreamPort) {
        return String.join(
                "\n",
                "[vm 127.0.0.1:" + upstreamPort + "]",
                "role = upstream",
                "service = " + SERVICE,
                "failure-domain = local",
                "state = live",
                "");
    }

    private static Path write(Path directory, String name, String content) throws IOException {
        return Files.writeString(directory.resolve(name), content);
    }

    private static void delete(Path directory) throws IOException {
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
