import java.io.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** Stand-in of the platform's metadata store: reads, listings and watches of items, and writes by this process. */
final class Store extends Http.Server {
    private record Event(long revision, String key, String value, boolean removed, long created) {}

    private final TreeMap<String, Event> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;

    Store(String ip) throws IOException { super(ip, 0); }

    synchronized long put(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        Event old = items.get(key);
        revision++;
        Event event = new Event(revision, key, encoded, false, old == null ? revision : old.created);
        items.put(key, event);
        history.add(event);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        history.add(new Event(++revision, key, null, true, 0));
        notifyAll();
    }

    private static String json(Event e) {
        if (e.removed) return "{\"key\":" + Json.quote(e.key) + ",\"revision\":" + e.revision + ",\"removed\":true}";
        return "{\"key\":" + Json.quote(e.key) + ",\"value\":\"" + e.value + "\",\"revision\":" + e.revision +
            ",\"created\":" + e.created + ",\"lease\":0}";
    }

    @Override
    boolean handle(Http.Request request, OutputStream out) throws IOException {
        String prefix = Objects.requireNonNullElse(request.query("prefix"), "");
        String answer = switch (request.path()) {
            case "/-/kv-range" -> range(prefix, request.query("after"));
            case "/-/kv-watch" -> watch(prefix, Long.parseLong(request.query("after")),
                Math.min(30_000, Long.parseLong(request.query("wait_ms"))));
            default -> null;
        };
        byte[] body = answer == null ? new byte[0] : answer.getBytes(StandardCharsets.UTF_8);
        Http.respond(out, answer == null ? 404 : 200, body, "Content-Type", "application/json");
        return true;
    }

    private synchronized String range(String prefix, String after) {
        StringJoiner page = new StringJoiner(",");
        int count = 0;
        boolean truncated = false;
        for (Event event : items.tailMap(prefix).values()) {
            if (!event.key.startsWith(prefix)) break;
            if (after != null && event.key.compareTo(after) <= 0) continue;
            if (count++ == 500) { truncated = true; break; }
            page.add(json(event));
        }
        return "{\"items\":[" + page + "],\"truncated\":" + truncated + ",\"as_of\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMs) {
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            StringJoiner events = new StringJoiner(",");
            boolean any = false;
            for (int i = history.size() - 1; i >= 0 && history.get(i).revision > after; i--) any = true;
            if (any) {
                for (Event e : history) if (e.revision > after && e.key.startsWith(prefix)) events.add(json(e));
            }
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (events.length() > 0 || leftMs <= 0 || ended) {
                return "{\"events\":[" + events + "],\"as_of\":" + revision + "}";
            }
            try { wait(leftMs); } catch (InterruptedException e) { return "{\"events\":[],\"as_of\":" + revision + "}"; }
        }
    }
}
