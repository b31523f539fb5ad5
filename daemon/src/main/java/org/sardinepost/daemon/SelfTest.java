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
 * Starts two daemons on free loopback ports, sends them calls to the admin address of the first and stops them.
 *
 * <p>It shows that an installation is complete. The classes that it loads are also those that a class data archive needs, so
 * it takes the same way as a real start: settings, services text and VM list from files, and places from a peer.
 */
final class SelfTest {
    private static final int CALLS = 20;
    private static final long CALL_LIMIT_SECONDS = 10;

    /** Far above the second that a start takes on a busy machine. */
    private static final long START_LIMIT_SECONDS = 30;

    private static final long START_POLL_MILLIS = 50;
    private static final String SERVICE = "self-test";

    private final Function<DaemonSettings, Daemon> daemons;

    SelfTest(Function<DaemonSettings, Daemon> daemons) {
        this.daemons = daemons;
    }

    /** Whether every call was answered. */
    boolean passes() throws Exception {
        Path directory = Files.createTempDirectory("sardinepost-self-test");
        try {
            return passes(directory);
        } finally {
            delete(directory);
        }
    }

    private boolean passes(Path directory) throws Exception {
        String upstream = freeAddress();
        write(directory, "services.ini", servicesText());
        write(directory, "vms.ini", vmList(upstream));
        String firstPeer = freeAddress();
        String secondPeer = freeAddress();
        DaemonSettings first = settings(directory, "first.ini", upstream, firstPeer, secondPeer);
        DaemonSettings second = settings(directory, "second.ini", freeAddress(), secondPeer, firstPeer);
        try (Daemon one = daemons.apply(first);
                Daemon other = daemons.apply(second)) {
            one.start();
            other.start();
            return answersCalls(one) && answersCalls(other);
        }
    }

    private static boolean answersCalls(Daemon daemon) throws Exception {
        HttpClient client = new HttpClient();
        client.start();
        try {
            if (!answersFirstCall(client, daemon.callerPort())) {
                return false;
            }
            for (int i = 0; i < CALLS; i++) {
                if (!answersCall(client, daemon.callerPort())) {
                    return false;
                }
            }
            return true;
        } finally {
            client.stop();
        }
    }

    /** The services text and the VM list are read one after the other, and calls in between are refused. */
    private static boolean answersFirstCall(HttpClient client, int port) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_LIMIT_SECONDS);
        while (System.nanoTime() - end < 0) {
            if (answersCall(client, port)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(START_POLL_MILLIS);
        }
        return false;
    }

    private static boolean answersCall(HttpClient client, int port) throws Exception {
        ContentResponse answer = client.newRequest("127.0.0.1", port)
                .path("/healthz")
                .headers(headers -> headers.put(HttpHeader.HOST, SERVICE))
                .timeout(CALL_LIMIT_SECONDS, TimeUnit.SECONDS)
                .send();
        return answer.getStatus() == HttpStatus.OK_200;
    }

    private static DaemonSettings settings(Path directory, String name, String admin, String peer, String otherPeer)
            throws IOException {
        Path file = write(
                directory,
                name,
                String.join(
                        "\n",
                        "[daemon]",
                        "caller-address = " + freeAddress(),
                        "admin-address = " + admin,
                        "peer-address = " + peer,
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
                        "addresses = " + otherPeer,
                        ""));
        StartFiles files = StartFiles.read(file);
        return files.settings()
                .orElseThrow(() -> new IllegalStateException("the self-test has faulty settings: " + files.findings()));
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

    private static String vmList(String upstream) {
        return String.join(
                "\n",
                "[vm " + upstream + "]",
                "role = upstream",
                "service = " + SERVICE,
                "failure-domain = local",
                "state = live",
                "");
    }

    /** A port that is free now; another process may take it until it is used, and the self-test then fails. */
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
