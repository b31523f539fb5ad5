package org.sardinepost.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** An upstream that answers every connection with a beginning and then repeats the same bytes until it is closed. */
final class EndlessUpstream implements AutoCloseable {
    private static final int REPETITIONS_PER_WRITE = 512;

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final byte[] beginning;
    private final byte[] repeated;
    private final CompletableFuture<Void> connectionClosed = new CompletableFuture<>();

    EndlessUpstream(String beginning, String repeated) throws IOException {
        this.beginning = beginning.getBytes(StandardCharsets.ISO_8859_1);
        this.repeated = repeated.repeat(REPETITIONS_PER_WRITE).getBytes(StandardCharsets.ISO_8859_1);
        startThread(this::accept);
    }

    Upstream upstream() {
        return new Upstream(new UpstreamId("127.0.0.1", listener.getLocalPort()), "test-1");
    }

    /** Completes when the daemon has closed a connection. */
    CompletableFuture<Void> connectionClosed() {
        return connectionClosed;
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = listener.accept();
                startThread(() -> send(connection));
            }
        } catch (IOException e) {
            // Closing the listener at the end of the test interrupts accept.
        }
    }

    private void send(Socket connection) {
        try (connection) {
            connection.getInputStream().read();
            OutputStream out = connection.getOutputStream();
            out.write(beginning);
            while (!listener.isClosed()) {
                out.write(repeated);
            }
        } catch (IOException e) {
            connectionClosed.complete(null);
        }
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "endless-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
