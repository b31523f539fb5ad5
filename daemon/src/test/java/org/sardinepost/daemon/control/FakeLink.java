package org.sardinepost.daemon.control;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sardinepost.core.routing.UpstreamId;

/** A TCP relay in front of one peer address. While it is cut, connections stay open but all bytes are dropped. */
final class FakeLink implements AutoCloseable {
    private final ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile int targetPort;
    private volatile boolean cut;

    FakeLink() throws IOException {
        startThread(this::accept);
    }

    UpstreamId address() {
        return new UpstreamId("127.0.0.1", serverSocket.getLocalPort());
    }

    void target(int port) {
        targetPort = port;
    }

    void cut() {
        cut = true;
    }

    void restore() {
        cut = false;
        sockets.forEach(FakeLink::close);
        sockets.clear();
    }

    private void accept() throws IOException {
        while (!serverSocket.isClosed()) {
            Socket client = serverSocket.accept();
            try {
                connect(client);
            } catch (IOException e) {
                // Nothing listens on the target port yet.
                close(client);
            }
        }
    }

    private void connect(Socket client) throws IOException {
        Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        sockets.add(client);
        sockets.add(target);
        startThread(() -> copy(client, target));
        startThread(() -> copy(target, client));
    }

    private void copy(Socket from, Socket to) throws IOException {
        byte[] buffer = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (!cut) {
                    to.getOutputStream().write(buffer, 0, length);
                }
            }
        } finally {
            close(from);
            close(to);
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // Expected when the sockets are closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket counts as closed even if closing it fails.
        }
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        restore();
    }
}
