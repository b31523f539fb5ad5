import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {
    private Http() {}

    /** A message: its first line, its headers by lower-case name, and its body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }
    }

    /** Reads a head and its body; returns null if the stream ends before the first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message head = readHead(in);
        return head == null ? null : new Message(head.firstLine(), head.headers(), readBody(in, head, response));
    }

    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            headers.merge(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim(),
                    (a, b) -> a + ", " + b);
        }
        return new Message(first, headers, new byte[0]);
    }

    static byte[] readBody(InputStream in, Message head, boolean response) throws IOException {
        String length = head.header("Content-Length");
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            return readChunks(in);
        }
        if (length != null) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) {
                throw new EOFException("body ended after " + body.length + " of " + length + " bytes");
            }
            return body;
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(requireLine(in).split(";")[0].trim(), 16);
            if (size == 0) {
                while (!requireLine(in).isEmpty()) {}
                return body.toByteArray();
            }
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new EOFException("chunk ended early");
            }
            body.write(chunk);
            requireLine(in);
        }
    }

    private static String requireLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the stream ended within a message");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int value = in.read();
            if (value < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ended within a line");
            }
            if (value == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(value);
        }
    }
}
