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

/** An upstream that answers every request head with given bytes, well-formed or not, and may then close. */
final class ScriptedUpstream implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";

    private final ServerSocket listener;
    private final String answer;
    private final End end;
    private final List<String> heads = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Void> firstConnectionEnded = new CompletableFuture<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    private enum End {
        NONE,
        CLOSE,
        RESET
    }

    private ScriptedUpstream(String answer, End end) throws IOException {
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.answer = answer;
        this.end = end;
        startThread(this::accept);
    }

    static ScriptedUpstream keepingConnection(String answer) throws IOException {
        return new ScriptedUpstream(answer, End.NONE);
    }

    /** Never answers. */
    static ScriptedUpstream silent() throws IOException {
        return new ScriptedUpstream("", End.NONE);
    }

    static ScriptedUpstream closing(String answer) throws IOException {
        return new ScriptedUpstream(answer, End.CLOSE);
    }

    /** Sends the answer and then resets the connection instead of closing it. */
    static ScriptedUpstream resetting(String answer) throws IOException {
        return new ScriptedUpstream(answer, End.RESET);
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
            // The listener was closed at the end of the test.
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
                    heads.add(head.toString());
                    head.setLength(0);
                    out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    if (end == End.RESET) {
                        connection.setSoLinger(true, 0);
                    }
                    if (end != End.NONE) {
                        return;
                    }
                }
            }
        } catch (IOException e) {
            // The daemon or the test closed the connection.
        }
        firstConnectionEnded.complete(null);
    }

    /** The heads of the requests received, in order. */
    List<String> heads() {
        return heads;
    }

    /** Completes when the daemon has closed a connection to this upstream. */
    CompletableFuture<Void> firstConnectionEnded() {
        return firstConnectionEnded;
    }

    /** Waits for the head of a request. */
    void awaitHead() throws InterruptedException {
        while (heads.isEmpty()) {
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
