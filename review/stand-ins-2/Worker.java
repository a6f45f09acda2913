import java.io.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/**
 * A worker of a service: one process lifetime, from its registration to {@link #crash}. It answers plain requests,
 * streams and calls of a stage, as the service is.
 */
final class Worker extends Http.Server {
    enum Kind { PLAIN, MODEL, STAGE }

    /** What a service is. {@code slots} tasks run at once and {@code queue} wait. */
    record Service(String name, Kind kind, int slots, int queue, int callMs, double itemMs, int batch, double handleS) {}

    /** A result of a stage that lies at its maker. */
    record Result(String handle, String request, int stage, int piece, Worker maker, long expiresAtMs) {}

    /** Hears what reaches a worker. */
    interface Listener {
        default void onRun(Worker worker, Http.Request request) {}

        /** The body of a plain answer; null for a short text. */
        default byte[] answer(Http.Request request) { return null; }

        default void onPiece(Worker worker, String request, int stage, int piece, List<String> inputs) {}
    }

    static final Map<String, Result> RESULTS = new ConcurrentHashMap<>();
    private static final Random RANDOM = new Random();

    final String id = "i-" + Long.toHexString(RANDOM.nextLong() >>> 24);
    final Service service;
    final String zone;
    private final Store store;
    private final Listener listener;
    private final Semaphore slots;
    private int waiting;
    private long sequence;
    private final long born = System.currentTimeMillis();
    volatile long coldUntilMs;
    volatile boolean leaving;

    Worker(String ip, int port, Service service, String zone, Store store, Listener listener) throws IOException {
        super(ip, port);
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.listener = listener;
        slots = new Semaphore(service.slots, true);
    }

    static long nowMs() { return System.nanoTime() / 1_000_000; }

    /** Starts serving and registers; {@code coldMs} is how long it stays cold. */
    Worker begin(long coldMs) {
        coldUntilMs = nowMs() + coldMs;
        start();
        Http.daemon("heartbeat " + id, () -> {
            while (!ended) {
                register();
                try { Thread.sleep(1_200); } catch (InterruptedException e) { return; }
            }
        });
        return this;
    }

    synchronized void register() {
        if (!ended) store.put("servers/" + id, nextEntry());
    }

    /** What the next heartbeat writes. */
    synchronized String nextEntry() {
        sequence++;
        return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d," +
            "\"phase\":\"%s\",\"cold_remaining_ms\":%d,\"sequence\":%d,\"born\":%d}").formatted(service.name, hostPort(), zone,
            service.slots, leaving ? "draining" : "ready", Math.max(0, coldUntilMs - nowMs()), sequence, born);
    }

    /** Reports that it is draining; its answers say so from then on. */
    void drain() {
        leaving = true;
        register();
    }

    /** Ends as planned: the entry is removed. */
    void leave() {
        end();
        store.remove("servers/" + id);
    }

    /** Ends without a word. The entry is removed after three heartbeat intervals of silence. */
    void crash() {
        end();
        RESULTS.values().removeIf(it -> it.maker == this);
        Http.daemon("expiry " + id, () -> {
            try { Thread.sleep(3_600); } catch (InterruptedException e) { return; }
            store.remove("servers/" + id);
        });
    }

    private String load() { return (service.slots - slots.availablePermits()) + "," + waiting + "," + service.slots; }

    @Override
    boolean handle(Http.Request request, OutputStream out) throws IOException {
        String attempt = request.header("x-attempt-id");
        String expected = request.header("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, new byte[0], "X-Instance-Id", id, "X-Attempt-Id", attempt);
            return true;
        }
        if (request.path().equals("/-/stage-free")) {
            Json.list(Json.object(Json.parse(new String(request.body, StandardCharsets.UTF_8))).get("handles"))
                .forEach(RESULTS::remove);
            Http.respond(out, 200, new byte[0], "X-Attempt-Id", attempt);
            return true;
        }
        synchronized (this) {
            if (waiting >= service.queue && slots.availablePermits() == 0) {
                Http.respond(out, 503, new byte[0], "X-Not-Executed", "1", "X-Attempt-Id", attempt);
                return true;
            }
            waiting++;
        }
        slots.acquireUninterruptibly();
        synchronized (this) { waiting--; }
        try {
            if (ended) return false;
            if (request.path().equals("/-/stage-run")) runPieces(request, attempt, out);
            else if (service.kind == Kind.MODEL) runModel(request, attempt, out);
            else runPlain(request, attempt, out);
        } finally {
            slots.release();
        }
        return !ended;
    }

    private static void work(double ms) {
        try { Thread.sleep((long) ms); } catch (InterruptedException e) { Thread.currentThread().interrupt(); }
    }

    private void runPieces(Http.Request request, String attempt, OutputStream out) throws IOException {
        List<Object> items = Json.list(Json.object(Json.parse(new String(request.body, StandardCharsets.UTF_8))).get("items"));
        List<String> outcomes = new ArrayList<>();
        for (Object entry : items) {
            Map<String, Object> item = Json.object(entry);
            String id = (String) item.get("id");
            int stage = Json.integer(item.get("stage"));
            int piece = Json.integer(item.get("piece"));
            List<String> inputs = new ArrayList<>();
            for (Object input : Json.list(item.get("inputs"))) inputs.add((String) input);
            listener.onPiece(this, id, stage, piece, inputs);
            long now = nowMs();
            boolean gone = inputs.stream().map(RESULTS::get).anyMatch(it -> it == null || it.expiresAtMs < now);
            outcomes.add(gone ? null : id + " " + stage + " " + piece);
        }
        work(service.callMs + service.itemMs * items.size());
        StringJoiner answers = new StringJoiner(",");
        for (String outcome : outcomes) {
            if (outcome == null) { answers.add("{\"reason\":\"gone\"}"); continue; }
            String[] words = outcome.split(" ");
            String handle = hostPort() + "/" + Long.toHexString(RANDOM.nextLong());
            if (!ended) RESULTS.put(handle, new Result(handle, words[0], Integer.parseInt(words[1]),
                Integer.parseInt(words[2]), this, nowMs() + (long) (service.handleS * 1_000)));
            answers.add("{\"handle\":" + Json.quote(handle) + "}");
        }
        byte[] body = ("{\"items\":[" + answers + "]}").getBytes(StandardCharsets.UTF_8);
        Http.respond(out, 200, body, "Content-Type", "application/json", "X-Attempt-Id", attempt, "X-Server-Load", load());
    }

    private void runModel(Http.Request request, String attempt, OutputStream out) throws IOException {
        String inputs = request.header("x-inputs");
        if (request.header("x-pieces") != null) {
            boolean missing = inputs == null;
            if (missing || Arrays.stream(inputs.split(",")).anyMatch(it -> !RESULTS.containsKey(it))) {
                Http.respond(out, missing ? 400 : 409, new byte[0], "X-Not-Executed", "1", "X-Attempt-Id", attempt);
                return;
            }
        }
        listener.onRun(this, request);
        work(service.callMs);
        out.write(Http.head("HTTP/1.1 200 OK", "Content-Type", "text/event-stream", "X-Attempt-Id", attempt,
            "X-Server-Stamp", "stamp-" + attempt, "X-Weight-Versions", "1", "Transfer-Encoding", "chunked"));
        for (int i = 1; i <= 4; i++) {
            String event = "id: " + i + "\ndata: " + attempt + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            work(service.itemMs);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void runPlain(Http.Request request, String attempt, OutputStream out) throws IOException {
        listener.onRun(this, request);
        work(service.callMs);
        byte[] body = listener.answer(request);
        if (body == null) body = ("answer to " + attempt).getBytes(StandardCharsets.UTF_8);
        Http.respond(out, 200, body, "X-Attempt-Id", attempt, "X-Server-Stamp", "stamp-" + attempt, "Server-Leaving",
            leaving ? "1" : null);
    }
}
