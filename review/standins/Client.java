package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests to a machine of the system, each on a new connection and with an id of its own. */
final class Client {
    /** What a client saw of one request; status 0 means that the connection ended without a whole answer. */
    record Result(String attempt, int status, String signature, double sentAt, double endedAt) {}

    private static final AtomicInteger LAST = new AtomicInteger(0x1000);

    private Client() {}

    static Result send(Node node, String method, String host, String path, byte[] body, int deadlineMillis) {
        String attempt = String.format("%016x", 0x9c41d07b00000000L + LAST.incrementAndGet());
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nSardinepost-Attempt-Id: " + attempt
                + "\r\nSardinepost-Deadline-Ms: " + deadlineMillis + "\r\n"
                + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        double sent = Record.now();
        Result result = new Result(attempt, 0, null, sent, sent);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", node.frontPort), 1000);
            socket.setSoTimeout(deadlineMillis + 1500);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            if (answer != null) {
                result = new Result(
                        attempt, answer.status(), answer.header("Sardinepost-Response-Signature"), sent, Record.now());
            }
        } catch (IOException e) {
            result = new Result(attempt, 0, null, sent, Record.now());
        }
        Record.line(
                "client: request %s %s to %s, sent at %.3f: answer %s", attempt, method, node.name, sent,
                result.status() == 0 ? "none" : result.status() + (result.signature() == null ? "" : " of a server"));
        return result;
    }
}
