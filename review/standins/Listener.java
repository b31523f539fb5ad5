package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Accepts connections on a free loopback port, each handled by a thread of its own. */
final class Listener {
    /** Handles one connection until it ends. */
    interface Connection {
        void serve(InputStream in, OutputStream out) throws IOException;
    }

    private final ServerSocket socket;

    Listener(Connection connection) throws IOException {
        socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        start(() -> accept(connection));
    }

    int port() {
        return socket.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    void close() throws IOException {
        socket.close();
    }

    private void accept(Connection connection) {
        while (!socket.isClosed()) {
            try {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                start(() -> {
                    try (accepted) {
                        connection.serve(new BufferedInputStream(accepted.getInputStream()), accepted.getOutputStream());
                    } catch (IOException e) {
                        // The peer ended the connection.
                    }
                });
            } catch (IOException e) {
                // The listener was closed.
            }
        }
    }

    static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
