package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: items, ranges and watches as in PROTOCOL.md. It keeps its whole history. */
final class Store {
    private static final int PAGE = 500;

    private final Map<String, String> items = new TreeMap<>();
    private final List<String> events = new ArrayList<>();
    private final List<Long> eventRevisions = new ArrayList<>();
    private final List<String> eventKeys = new ArrayList<>();
    private final Listener listener;
    private long revision = 100;

    Store() throws IOException {
        listener = new Listener(this::serve);
    }

    String address() {
        return listener.address();
    }

    synchronized void put(String key, byte[] value) {
        revision++;
        String item = "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                + "\",\"revision\":" + revision + ",\"createdRev\":" + revision + ",\"lease\":0}";
        items.put(key, item);
        add(key, item);
    }

    void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void remove(String key) {
        revision++;
        items.remove(key);
        add(key, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}");
    }

    private void add(String key, String event) {
        events.add(event);
        eventRevisions.add(revision);
        eventKeys.add(key);
        notifyAll();
    }

    private void serve(InputStream in, OutputStream out) throws IOException {
        for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
            byte[] body = respond(request.word(1)).getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                    + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }
    }

    private String respond(String target) {
        Map<String, String> query = query(target);
        String prefix = query.getOrDefault("prefix", "");
        return target.startsWith("/v1/kv-watch")
                ? changes(prefix, Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")))
                : range(prefix, query.getOrDefault("after", ""));
    }

    private synchronized String range(String prefix, String after) {
        List<String> page = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, String> item : items.entrySet()) {
            if (!item.getKey().startsWith(prefix) || item.getKey().compareTo(after) <= 0) {
                continue;
            }
            truncated = page.size() == PAGE;
            if (truncated) {
                break;
            }
            page.add(item.getValue());
        }
        return "{\"items\":[" + String.join(",", page) + "],\"truncated\":" + truncated + ",\"storeRevision\":"
                + revision + "}";
    }

    private synchronized String changes(String prefix, long after, long waitMillis) {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        List<String> found = changesAfter(prefix, after);
        while (found.isEmpty() && end - System.nanoTime() > 0) {
            try {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                break;
            }
            found = changesAfter(prefix, after);
        }
        return "{\"events\":[" + String.join(",", found) + "],\"storeRevision\":" + revision + "}";
    }

    private List<String> changesAfter(String prefix, long after) {
        List<String> found = new ArrayList<>();
        for (int i = events.size() - 1; i >= 0 && eventRevisions.get(i) > after; i--) {
            if (eventKeys.get(i).startsWith(prefix)) {
                found.add(0, events.get(i));
            }
        }
        return found;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            int equals = part.indexOf('=');
            values.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }
}
