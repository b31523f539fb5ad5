package org.sardinepost.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.sardinepost.core.settings.DaemonSettings;

/**
 * Starts two daemons on free loopback ports, sends each calls whose upstream is the admin address of the first, and stops both.
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
        String upstreamAddress = freeAddress();
        write(directory, "services.ini", servicesText());
        write(directory, "vms.ini", vmList(upstreamAddress));
        String firstPeerAddress = freeAddress();
        String secondPeerAddress = freeAddress();
        DaemonSettings firstSettings =
                settings(directory, "first.ini", upstreamAddress, firstPeerAddress, secondPeerAddress);
        DaemonSettings secondSettings =
                settings(directory, "second.ini", freeAddress(), secondPeerAddress, firstPeerAddress);
        try (Daemon firstDaemon = daemonFactory.apply(firstSettings);
                Daemon secondDaemon = daemonFactory.apply(secondSettings)) {
            firstDaemon.start();
            secondDaemon.start();
            return servesCalls(firstDaemon) && servesCalls(secondDaemon);
        }
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

    private static DaemonSettings settings(
            Path directory, String name, String adminAddress, String peerAddress, String otherPeerAddress)
            throws IOException {
        Path file = write(
                directory,
                name,
                String.join(
                        "\n",
                        "[daemon]",
                        "caller-address = " + freeAddress(),
                        "admin-address = " + adminAddress,
                        "peer-address = " + peerAddress,
                        "failure-domain = local",
                        "region = local",
                        "placement = shared",
                        "[configuration]",
                        "source = file",
                        "file = " + directory.resolve("services.ini"),
                        "[vms]",
                        "source = file",
                        "file = " + directory.resolve("vms.ini"),
                        "[peers]",
                        "addresses = " + otherPeerAddress,
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

    private static String vmList(String upstreamAddress) {
        return String.join(
                "\n",
                "[vm " + upstreamAddress + "]",
                "role = upstream",
                "service = " + SERVICE,
                "failure-domain = local",
                "state = live",
                "");
    }

    /** Returns an address with a free port. If another process binds the port before it is used, the self-test fails. */
    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
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
