package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. */
final class Http {
    private Http() {}

    /** A request or a response: its first line, its headers and its body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        String word(int index) {
            return firstLine.split(" ", 3)[index];
        }

        int status() {
            return Integer.parseInt(word(1));
        }
    }

    /** Returns the next message, or null at the end of the stream before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        String firstLine = readLine(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the head is incomplete");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return new Message(firstLine, headers, readBody(in, headers, response));
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean response) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.getOrDefault("Transfer-Encoding", ""))) {
            return readChunks(in);
        }
        String length = headers.get("Content-Length");
        if (length == null) {
            return response ? in.readAllBytes() : new byte[0];
        }
        return readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the chunks are incomplete");
            }
            int size = Integer.parseInt(line.split(";")[0].trim().toLowerCase(Locale.ROOT), 16);
            body.write(readExactly(in, size));
            readLine(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body is incomplete");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = in.read();
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
