import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items, pages of 50 and changes after a revision. It keeps the changes of the last 20 s. */
final class Store {
    private static final int PAGE = 50;
    private static final long HISTORY_MILLIS = 20_000;
    private static final String GONE = "";

    private record Item(String key, String value, long revision, long created) {
        String json() {
            return "{\"key\":\"" + key + "\",\"value\":\""
                    + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)) + "\",\"revision\":"
                    + revision + ",\"createdRev\":" + created + ",\"lease\":0}";
        }
    }

    private record Event(long revision, String json, long millis) {}

    private final ServerSocket listener;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;
    /** The newest revision whose change is no longer kept. */
    private long forgotten = 100;

    Store() throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Stand.daemonThread("store", () -> {
            while (true) {
                Socket socket = listener.accept();
                Stand.daemonThread("store-connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void put(String key, String value) {
        revision++;
        Item previous = items.get(key);
        Item item = new Item(key, value, revision, previous == null ? revision : previous.created());
        items.put(key, item);
        events.add(new Event(revision, item.json(), System.currentTimeMillis()));
        notifyAll();
    }

    synchronized void remove(String key) {
        revision++;
        items.remove(key);
        events.add(new Event(revision, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}", System.currentTimeMillis()));
        notifyAll();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                String answer = answer(request.target());
                byte[] body = answer.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + (answer.equals(GONE) ? "410 Gone" : "200 OK") + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n";
                out.write((head + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    private String answer(String target) throws InterruptedException {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String part : target.substring(mark + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        String path = mark >= 0 ? target.substring(0, mark) : target;
        return path.equals("/v1/kv-watch") ? changes(query) : range(query);
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<String> page = new ArrayList<>();
        boolean truncated = false;
        for (Item item : items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (page.size() == PAGE) {
                truncated = true;
                break;
            }
            page.add(item.json());
        }
        return "{\"items\":[" + String.join(",", page) + "],\"truncated\":" + truncated + ",\"storeRevision\":"
                + revision + "}";
    }

    private synchronized String changes(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilMillis = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (revision <= after && System.currentTimeMillis() < untilMillis) {
            wait(Math.max(1, untilMillis - System.currentTimeMillis()));
        }
        while (!events.isEmpty() && System.currentTimeMillis() - events.get(0).millis() > HISTORY_MILLIS) {
            forgotten = events.remove(0).revision();
        }
        if (after < forgotten) {
            return GONE;
        }
        List<String> changed = new ArrayList<>();
        for (Event event : events) {
            if (event.revision() > after) {
                changed.add(event.json());
            }
        }
        return "{\"events\":[" + String.join(",", changed) + "],\"storeRevision\":" + revision + "}";
    }
}
