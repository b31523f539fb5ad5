package org.sardinepost.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends a request byte for byte and reads the response until the connection is closed. */
final class RawHttpClient {
    private static final int READ_TIMEOUT_MS = 10_000;

    private RawHttpClient() {}

    /** Sends the request, which must cause the server to close the connection, and returns all bytes received. */
    static String exchange(int port, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Returns a request head that consists of the request line, the headers and {@code Connection: close}. */
    static String request(String requestLine, String... headers) {
        return requestLine + "\r\n" + String.join("\r\n", headers) + "\r\nConnection: close\r\n\r\n";
    }

    /** Returns a message head that consists of the given lines. */
    static String head(String... lines) {
        return String.join("\r\n", lines) + "\r\n\r\n";
    }
}
