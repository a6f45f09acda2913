import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stage worker sometimes sends a second copy of an answer, late. Requests with one stage run at a model worker, which
 * compares the inputs that it is given with the pieces that were made for the request.
 */
final class LateStageAnswer implements Main.Case {
    private static final int RUN_MS = 90_000;
    private static final int WORKERS = 4;
    private static final int CLIENTS = 5;

    /** The dose: these workers, this share of their answers, in spells of this length with a pause between them. */
    private static final int FAULTY_WORKERS = 2;
    private static final double SHARE = 0.03;
    private static final int SPELL_MS = 5_000;
    private static final int PAUSE_MS = 1_000;
    private static final int CALL_MS = 240;
    private static final int ITEM_MS = 15;
    private static final int LEAST_LATE_MS = 20;
    private static final int MOST_LATE_MS = 200;
    private static final Pattern ITEM =
        Pattern.compile("\"id\":\"([0-9a-f]+)\",\"stage\":(\\d+),\"piece\":(\\d+)");

    /** Which piece each result belongs to. */
    private final Map<String, String> pieceOf = new ConcurrentHashMap<>();
    private final AtomicLong handles = new AtomicLong(0x5c1e07a2e440L);
    private final AtomicInteger extras = new AtomicInteger();

    @Override
    public void run(Lab lab) throws Exception {
        List<Http.Server> stageWorkers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            Semaphore slot = new Semaphore(1);
            String id = "i-stage-" + i;
            boolean faulty = lab.trouble && i <= FAULTY_WORKERS;
            Http.Server[] self = new Http.Server[1];
            self[0] = new Http.Server(lab.nextHost(), 0,
                (request, socket) -> stage(lab, id, self[0], faulty, slot, request, socket));
            stageWorkers.add(self[0]);
            lab.resources.add(self[0]);
            lab.register(id, "encoder", self[0].address(), "ready", System.currentTimeMillis(), 0);
        }
        Http.Server model = new Http.Server(lab.nextHost(), 0, (request, socket) -> model(lab, request, socket));
        lab.resources.add(model);
        lab.register("i-model-1", "model", model.address(), "ready", System.currentTimeMillis(), 0);
        lab.publish(1, Lab.route("staged", "unsafe", "model", 8_000, 1,
                ",\"stages\":[{\"service\":\"encoder\",\"after\":[],\"bytes\":8000}]"),
            Lab.service("model", 0, "") + "," + Lab.service("encoder", 0, """
                ,"pieces":{"slots":1,"queue":2,"batch":14,"call_ms":%d,"item_ms":%d,"headroom_mb":16.625,
                           "handle_s":4.0,"link_mbps":10000}""".formatted(CALL_MS, ITEM_MS)));
        lab.createGateways(2);
        lab.startGateways();
        Map<String, Integer> answers = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        long untilMs = lab.nowMs() + RUN_MS;
        for (int i = 0; i < CLIENTS; i++) {
            Gateway gateway = lab.gateways.get(i % 2);
            clients.add(Http.daemon(() -> client(lab, gateway, untilMs, answers)));
        }
        for (Thread client : clients) client.join();
        lab.record("answers by status: %s; second copies sent: %d", Lab.tally(answers), extras.get());
        if (answers.getOrDefault("200", 0) < 50) throw new IllegalStateException("too few requests were served");
    }

    private void client(Lab lab, Gateway gateway, long untilMs, Map<String, Integer> answers) {
        while (lab.nowMs() < untilMs) {
            String attempt = lab.attemptId();
            int pieces = ThreadLocalRandom.current().nextInt(4) == 0 ? 2 : 1;
            String more = "X-Pieces: " + pieces + "\r\nX-Piece-Key: " + attempt + "\r\nContent-Length: 0\r\n";
            lab.record("client   %s sent to %s, %d pieces", attempt, gateway.name, pieces);
            Http.Message answer = Lab.call(gateway.frontend(), Lab.head("POST", "/staged/x", attempt, 8_000, more), 9_000);
            String status = answer == null ? "closed" : "" + answer.status();
            lab.record("client   %s answered %s", attempt, status);
            answers.merge(status, 1, Integer::sum);
        }
    }

    private void stage(Lab lab, String id, Http.Server self, boolean faulty, Semaphore slot, Http.Message request,
        Socket socket) throws Exception {
        String attempt = request.header("X-Attempt-Id");
        String echo = attempt == null ? "" : "X-Attempt-Id: " + attempt + "\r\n";
        if (request.path().equals("/-/stage-free")) {
            Http.respond(socket, 200, echo, "");
            return;
        }
        if (!id.equals(request.header("X-Expect-Instance"))) {
            Http.respond(socket, 421, echo + "X-Not-Executed: 1\r\n", "");
            return;
        }
        slot.acquire();
        List<String> items = new ArrayList<>();
        List<String> pieces = new ArrayList<>();
        try {
            Matcher matcher = ITEM.matcher(request.text());
            while (matcher.find()) {
                String handle = self.address() + "/" + Long.toHexString(handles.incrementAndGet());
                String piece = matcher.group(1) + " stage " + matcher.group(2) + " piece " + matcher.group(3);
                pieceOf.put(handle, piece);
                items.add("{\"handle\":\"" + handle + "\"}");
                pieces.add(piece + " is " + handle);
            }
            lab.record("%s  runs %s", id, pieces);
            Thread.sleep(CALL_MS + (long) ITEM_MS * pieces.size());
        } finally {
            slot.release();
        }
        String headers = echo + "Content-Type: application/json\r\nX-Server-Load: 0,0,1\r\n";
        String body = "{\"items\":[" + String.join(",", items) + "]}";
        Http.respond(socket, 200, headers, body);
        boolean inSpell = lab.nowMs() % (SPELL_MS + PAUSE_MS) < SPELL_MS;
        if (!faulty || !inSpell || ThreadLocalRandom.current().nextDouble() >= SHARE) return;
        extras.incrementAndGet();
        Http.daemon(() -> {
            try {
                Thread.sleep(ThreadLocalRandom.current().nextInt(LEAST_LATE_MS, MOST_LATE_MS));
                lab.record("%s  sends a second copy of the answer for %s", id, pieces);
                Http.respond(socket, 200, headers, body);
            } catch (Exception e) {
                // the connection has ended
            }
        });
    }

    private void model(Lab lab, Http.Message request, Socket socket) throws Exception {
        String attempt = request.header("X-Attempt-Id");
        String echo = "X-Attempt-Id: " + attempt + "\r\n";
        if (request.header("X-Inputs") == null) {
            Http.respond(socket, 400, echo + "X-Not-Executed: 1\r\n", "");
            return;
        }
        List<String> given = new ArrayList<>();
        for (String handle : request.header("X-Inputs").split(",")) given.add(pieceOf.get(handle.trim()));
        List<String> due = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(request.header("X-Pieces")); i++) due.add(attempt + " stage 0 piece " + i);
        lab.record("model    runs %s with %s", attempt, given);
        if (!given.equals(due)) lab.violation("MIXED: %s is given %s", attempt, given);
        Http.respond(socket, 200, echo + "X-Server-Stamp: s." + attempt + "\r\n", "answer to " + attempt);
    }
}
