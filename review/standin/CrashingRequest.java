import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request crashes each worker that runs it, in the middle of the second event of its answer, and comes again and
 * again at any gateway. Counts how often it reaches a worker after the third crash and contact_ms.
 */
final class CrashingRequest implements Main.Case {
    private static final int RUN_MS = 60_000;
    private static final int WORKERS = 6;
    private static final int CLIENTS = 8;
    private static final int CONTACT_MS = 3_000;
    private static final int BACK_MS = 3_000;
    private static final int AGAIN_MS = 1_500;
    private static final int EVENTS = 12;
    private static final int EVENT_MS = 40;
    private static final String CRASHING_PATH = "/draft/plan-7";

    /** For a comparison: the crash comes before the first event. */
    private static final boolean BEFORE_FIRST_EVENT = Boolean.getBoolean("before");

    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger cutStreams = new AtomicInteger();
    private volatile long thirdCrashMs = Long.MAX_VALUE / 2;
    private final List<String> late = new ArrayList<>();

    /** A worker process, which is down for some seconds after a crash and then starts again at the same address. */
    private final class Worker {
        private final Lab lab;
        private final String id;
        private final String host;
        private int port;
        private Http.Server server;
        private final Set<Socket> running = ConcurrentHashMap.newKeySet();

        Worker(Lab lab, int number) throws Exception {
            this.lab = lab;
            id = "i-llm-" + number;
            host = lab.nextHost();
            start();
        }

        synchronized void start() throws Exception {
            server = new Http.Server(host, port, this::serve);
            port = Integer.parseInt(server.address().split(":")[1]);
            lab.register(id, "llm", server.address(), "ready", System.currentTimeMillis(), 0);
        }

        private synchronized void crash() throws Exception {
            running.removeIf(Socket::isClosed);
            lab.record("%s crashes; its other streams: %d", id, running.size() - 1);
            cutStreams.addAndGet(running.size() - 1);
            for (Socket socket : running) socket.setSoLinger(true, 0);
            server.close();
            running.clear();
            if (crashes.incrementAndGet() == 3) thirdCrashMs = lab.nowMs();
            Http.daemon(() -> {
                try {
                    Thread.sleep(BACK_MS);
                    start();
                    lab.record("%s is back", id);
                } catch (Exception e) {
                    lab.record("%s is not back: %s", id, e);
                }
            });
        }

        private void serve(Http.Message request, Socket socket) throws Exception {
            String attempt = request.header("X-Attempt-Id");
            boolean crashing = request.path().equals(CRASHING_PATH);
            if (crashing) {
                lab.record("%s runs %s, %s", id, attempt, CRASHING_PATH);
                if (lab.nowMs() > thirdCrashMs + CONTACT_MS) {
                    synchronized (late) {
                        late.add(attempt);
                    }
                }
            }
            running.add(socket);
            if (crashing && lab.trouble && BEFORE_FIRST_EVENT) {
                crash();
                return;
            }
            Http.write(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s." + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int number = 1; number <= EVENTS; number++) {
                Thread.sleep(EVENT_MS);
                String event = "id: " + number + "\ndata: " + attempt + "\n\n";
                Http.write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                if (crashing && lab.trouble) {
                    Thread.sleep(EVENT_MS);
                    Http.write(socket, Integer.toHexString(event.length()) + "\r\nid: 2\nda");
                    crash();
                    return;
                }
            }
            Http.write(socket, "0\r\n\r\n");
            running.remove(socket);
        }
    }

    @Override
    public void run(Lab lab) throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) workers.add(new Worker(lab, i));
        lab.publish(1, Lab.route("draft", "streaming", "llm", 12_000, 1, ",\"sticky\":true,\"gap_aim_ms\":300"),
            Lab.service("llm", 0, ""));
        lab.createGateways(3);
        lab.startGateways();
        long untilMs = lab.nowMs() + RUN_MS;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Http.daemon(() -> sound(lab, number, untilMs));
        }
        Thread.sleep(2_000);
        for (int i = 0; lab.nowMs() < untilMs; i++) {
            Gateway gateway = lab.gateways.get(i % lab.gateways.size());
            String attempt = lab.attemptId();
            Http.Message answer =
                send(gateway, attempt, CRASHING_PATH, "5c1e07a2:512,91bd3f06:4870,e4402b7d:250", "plan 7");
            lab.record("crashing request %s at %s: %s", attempt, gateway.name, answer == null ? "cut" : answer.status());
            Thread.sleep(AGAIN_MS);
        }
        for (Worker worker : workers) lab.resources.add(worker.server);
        lab.record("sound streams by status: %s; crashes: %d; sound streams that were cut: %d", Lab.tally(answers),
            crashes.get(), cutStreams.get());
        if (lab.trouble && crashes.get() < 3 && !BEFORE_FIRST_EVENT) throw new IllegalStateException("too few crashes");
        if (late.size() > 3) {
            lab.violation("BUDGET: the request has reached workers %d times later than contact_ms after the third crash",
                late.size());
        }
    }

    private void sound(Lab lab, int number, long untilMs) {
        for (int i = 0; lab.nowMs() < untilMs; i++) {
            String prefix = "5c1e07a2:512,91bd%04x:4870,%08x:250".formatted(number, i);
            Gateway gateway = lab.gateways.get((number + i) % lab.gateways.size());
            String path = "/draft/plan-1%d%04d".formatted(number, i);
            Http.Message answer = send(gateway, lab.attemptId(), path, prefix, "sound " + i);
            answers.merge(answer == null ? "cut" : "" + answer.status(), 1, Integer::sum);
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static Http.Message send(Gateway gateway, String attempt, String path, String prefix, String body) {
        String more = "X-Model: m\r\nX-Token-Count: 5632,80\r\nX-Prompt-Prefix: " + prefix + "\r\nContent-Length: "
            + body.length() + "\r\n";
        return Lab.call(gateway.frontend(), Lab.head("POST", path, attempt, 12_000, more) + body, 13_000);
    }
}
