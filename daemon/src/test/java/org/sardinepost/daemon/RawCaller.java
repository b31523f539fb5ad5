package org.sardinepost.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends bytes exactly as given and reads what comes back until the connection ends. */
final class RawCaller {
    private static final int SAFETY_TIMEOUT_MS = 10_000;

    private RawCaller() {}

    /** The request must ask for the end of the connection. */
    static String exchange(int port, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(SAFETY_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** A request with these lines after the request line, and no body. */
    static String request(String requestLine, String... headers) {
        return requestLine + "\r\n" + String.join("\r\n", headers) + "\r\nConnection: close\r\n\r\n";
    }

    /** A message head of these lines. */
    static String lines(String... lines) {
        return String.join("\r\n", lines) + "\r\n\r\n";
    }
}
