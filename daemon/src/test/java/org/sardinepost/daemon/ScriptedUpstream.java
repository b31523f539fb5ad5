package org.sardinepost.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** An upstream that sends fixed bytes, well-formed or not, for every request head and may then end the connection. */
final class ScriptedUpstream implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";

    private final ServerSocket listener;
    private final String response;
    private final AfterResponse afterResponse;
    private final List<String> requestHeads = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Void> connectionClosed = new CompletableFuture<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    private enum AfterResponse {
        KEEP_OPEN,
        CLOSE,
        RESET
    }

    private ScriptedUpstream(String response, AfterResponse afterResponse) throws IOException {
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.response = response;
        this.afterResponse = afterResponse;
        startThread(this::accept);
    }

    static ScriptedUpstream keepingAlive(String response) throws IOException {
        return new ScriptedUpstream(response, AfterResponse.KEEP_OPEN);
    }

    /** Returns an upstream that never responds. */
    static ScriptedUpstream silent() throws IOException {
        return new ScriptedUpstream("", AfterResponse.KEEP_OPEN);
    }

    static ScriptedUpstream closing(String response) throws IOException {
        return new ScriptedUpstream(response, AfterResponse.CLOSE);
    }

    /** Returns an upstream that resets the connection after its response instead of closing it. */
    static ScriptedUpstream resetting(String response) throws IOException {
        return new ScriptedUpstream(response, AfterResponse.RESET);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "scripted-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = listener.accept();
                connections.add(connection);
                startThread(() -> serve(connection));
            }
        } catch (IOException e) {
            // Closing the listener at the end of the test interrupts accept.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = connection.getInputStream();
            OutputStream out = connection.getOutputStream();
            StringBuilder head = new StringBuilder();
            for (int read = in.read(); read >= 0; read = in.read()) {
                head.append((char) read);
                if (head.length() >= HEAD_END.length()
                        && head.substring(head.length() - HEAD_END.length()).equals(HEAD_END)) {
                    requestHeads.add(head.toString());
                    head.setLength(0);
                    out.write(response.getBytes(StandardCharsets.ISO_8859_1));
                    if (afterResponse == AfterResponse.RESET) {
                        connection.setSoLinger(true, 0);
                    }
                    if (afterResponse != AfterResponse.KEEP_OPEN) {
                        return;
                    }
                }
            }
        } catch (IOException e) {
            // The daemon or the test closed the connection.
        }
        connectionClosed.complete(null);
    }

    /** Returns the request heads in the order in which they were received. */
    List<String> requestHeads() {
        return requestHeads;
    }

    /** Completes when the daemon has closed a connection to this upstream. */
    CompletableFuture<Void> connectionClosed() {
        return connectionClosed;
    }

    void awaitRequestHead() throws InterruptedException {
        while (requestHeads.isEmpty()) {
            Thread.sleep(1);
        }
    }

    Upstream upstream() {
        return new Upstream(new UpstreamId("127.0.0.1", listener.getLocalPort()), "test-1");
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket connection : connections) {
                connection.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
