package org.sardinepost.daemon.control;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sardinepost.core.routing.UpstreamId;

/** The network in front of one peer address. While it is cut, connections stay open and carry nothing. */
final class FakeLink implements AutoCloseable {
    private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile int targetPort;
    private volatile boolean cut;

    FakeLink() throws IOException {
        spawn(this::accept);
    }

    UpstreamId address() {
        return new UpstreamId("127.0.0.1", listening.getLocalPort());
    }

    void target(int port) {
        targetPort = port;
    }

    void cut() {
        cut = true;
    }

    void heal() {
        cut = false;
        sockets.forEach(FakeLink::close);
        sockets.clear();
    }

    private void accept() throws IOException {
        while (!listening.isClosed()) {
            Socket caller = listening.accept();
            try {
                connect(caller);
            } catch (IOException e) {
                // Nobody listens behind the link yet.
                close(caller);
            }
        }
    }

    private void connect(Socket caller) throws IOException {
        Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        sockets.add(caller);
        sockets.add(target);
        spawn(() -> copy(caller, target));
        spawn(() -> copy(target, caller));
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

    private interface Work {
        void run() throws IOException;
    }

    private static void spawn(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The sockets were closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
        heal();
    }
}
