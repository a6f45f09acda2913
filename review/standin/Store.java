import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The platform's metadata store: range reads in pages and watches, all linearizable. It can drop its history. */
final class Store implements AutoCloseable {
    private record Item(String value, long revision) {}

    private record Change(String key, String value, long revision) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private static final int PAGE = 50;
    private long droppedUpTo;
    private boolean deaf;
    private final AtomicInteger calls = new AtomicInteger();
    private final Http.Server server;

    Store(String host) throws Exception {
        server = new Http.Server(host, 0, this::serve);
    }

    String address() {
        return server.address();
    }

    /** Writes an item; the return is the confirmation. */
    synchronized void put(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        items.put(key, new Item(encoded, ++revision));
        history.add(new Change(key, encoded, revision));
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        history.add(new Change(key, null, ++revision));
        notifyAll();
    }

    /** Watches hear nothing while {@code changes} are made for a second; then the history is discarded. */
    void compact(Runnable changes) throws InterruptedException {
        synchronized (this) {
            deaf = true;
        }
        changes.run();
        Thread.sleep(1_000);
        synchronized (this) {
            deaf = false;
            history.clear();
            droppedUpTo = revision;
            notifyAll();
        }
    }

    /** Number of calls so far. */
    int calls() {
        return calls.get();
    }

    private void serve(Http.Message request, Socket socket) throws Exception {
        calls.incrementAndGet();
        if (request.firstLine().split(" ").length != 3) {
            Http.respond(socket, 400, "", "");
            return;
        }
        String answer = switch (request.path()) {
            case "/-/kv-range" -> range(request.query("prefix"), request.query("after"));
            case "/-/kv-watch" -> watch(
                Long.parseLong(request.query("after")), Long.parseLong(request.query("wait_ms")));
            default -> throw new IllegalStateException(request.firstLine());
        };
        if (answer == null) {
            Http.respond(socket, 410, "", "");
        } else {
            Http.respond(socket, 200, "Content-Type: application/json\r\n", answer);
        }
    }

    private synchronized String range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        for (var entry : items.tailMap(after == null ? "" : after, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) continue;
            if (found.size() == PAGE) return page(found, true);
            found.add(json(entry.getKey(), entry.getValue().value(), entry.getValue().revision()));
        }
        return page(found, false);
    }

    private String page(List<String> found, boolean truncated) {
        return "{\"items\":[" + String.join(",", found) + "],\"truncated\":" + truncated + ",\"as_of\":" + revision + "}";
    }

    private synchronized String watch(long after, long waitMs) throws InterruptedException {
        long untilMs = System.nanoTime() / 1_000_000 + waitMs;
        while ((revision <= after || deaf) && after >= droppedUpTo) {
            long leftMs = untilMs - System.nanoTime() / 1_000_000;
            if (leftMs <= 0) break;
            wait(leftMs);
        }
        if (after < droppedUpTo) return null;
        if (deaf) return "{\"events\":[],\"as_of\":" + after + "}";
        List<String> events = new ArrayList<>();
        for (Change change : history) {
            if (change.revision() > after) events.add(json(change.key(), change.value(), change.revision()));
        }
        return "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + revision + "}";
    }

    private static String json(String key, String value, long revision) {
        String content = value == null ? "\"removed\":true" : "\"value\":\"" + value + "\"";
        return "{\"key\":\"" + key + "\"," + content + ",\"revision\":" + revision + "}";
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
