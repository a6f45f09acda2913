import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A gateway loses power and comes back, while the workers of a service have come back cold. Counts the requests that a
 * cold worker gets in one second, of those that were sent in that second.
 */
final class ColdWorkers implements Main.Case {
    private static final int GATEWAYS = 4;
    private static final int WORKERS = 2;
    private static final int CYCLES = 9;
    private static final int DOWN_MS = 3_500;
    private static final int COLD_MS = 3_000;
    private static final double COLD_PER_S = 14;
    private static final int BOUND = (int) (COLD_PER_S * 1.5 + 5);
    private static final int CLIENTS = 40;
    private static final int WORK_MS = 30;

    /** A worker's lifetime: until when it is cold, and the requests of the last second. */
    private final class Worker {
        final String id;
        final long coldUntilMs;
        final ArrayDeque<Long> arrivals = new ArrayDeque<>();
        Http.Server server;
        int most;

        Worker(Lab lab, String id) throws Exception {
            this.id = id;
            coldUntilMs = lab.nowMs() + COLD_MS;
            server = new Http.Server(lab.nextHost(), 0, (request, socket) -> work(lab, this, request, socket));
            lab.register(id, "app", server.address(), "ready", System.currentTimeMillis(), COLD_MS);
        }
    }

    private final Map<String, Long> sentAtMs = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();

    @Override
    public void run(Lab lab) throws Exception {
        lab.publish(1, Lab.route("order", "unsafe", "app", 2_000, 1, ""), Lab.service("app", COLD_PER_S, ""));
        List<Worker> workers = new ArrayList<>();
        int number = 0;
        for (int i = 0; i < WORKERS; i++) workers.add(new Worker(lab, "i-app-" + ++number));
        lab.createGateways(GATEWAYS);
        lab.startGateways();
        Balancer balancer = new Balancer(lab);
        long untilMs = lab.nowMs() + CYCLES * 9_500L;
        for (int i = 0; i < CLIENTS; i++) Http.daemon(() -> client(lab, balancer, untilMs));
        for (int cycle = 0; cycle < CYCLES; cycle++) {
            Thread.sleep(4_000);
            Gateway gateway = lab.gateways.get(cycle % GATEWAYS);
            if (lab.trouble) {
                gateway.kill();
                lab.record("%s has lost power", gateway.name);
            }
            Thread.sleep(DOWN_MS - 2_000);
            for (Worker worker : workers) {
                lab.store.remove("servers/" + worker.id);
                worker.server.close();
            }
            lab.record("the workers are down");
            Thread.sleep(2_000);
            workers.clear();
            if (lab.trouble) {
                gateway.start();
                lab.record("%s starts", gateway.name);
            }
            for (int i = 0; i < WORKERS; i++) workers.add(new Worker(lab, "i-app-" + ++number));
            lab.record("the workers are back, cold");
            Thread.sleep(2_000);
        }
        Thread.sleep(2_000);
        lab.record("answers: %s", Lab.tally(answers));
    }

    private void client(Lab lab, Balancer balancer, long untilMs) {
        while (lab.nowMs() < untilMs) {
            String attempt = lab.attemptId();
            try {
                Gateway gateway = balancer.choose();
                sentAtMs.put(attempt, lab.nowMs());
                Http.Message answer = Lab.call(gateway.frontend(),
                    Lab.head("POST", "/order/x", attempt, 2_000, "Content-Length: 0\r\n"), 2_500);
                answers.merge(answer == null ? "closed" : "" + answer.status(), 1, Integer::sum);
                boolean refused = answer != null && answer.status() == 503;
                Thread.sleep(refused ? 250 : 100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void work(Lab lab, Worker worker, Http.Message request, Socket socket) throws Exception {
        String attempt = request.header("X-Attempt-Id");
        long nowMs = lab.nowMs();
        Long sentMs = sentAtMs.get(attempt);
        lab.record("%s runs %s, sent %d ms before%s", worker.id, attempt, nowMs - sentMs,
            nowMs < worker.coldUntilMs ? ", cold" : "");
        if (nowMs < worker.coldUntilMs) {
            synchronized (worker) {
                worker.arrivals.add(sentMs);
                long counted = worker.arrivals.stream().filter(sent -> sent > nowMs - 1_000).count();
                worker.arrivals.removeIf(sent -> sent <= nowMs - 1_000);
                if (counted > BOUND && counted > worker.most) {
                    worker.most = (int) counted;
                    lab.violation("FAILBACK: %s, cold, has got %d requests in a second, bound %d", worker.id, counted,
                        BOUND);
                }
            }
        }
        Thread.sleep(WORK_MS);
        Http.respond(socket, 200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s." + attempt + "\r\n", "ok");
    }
}
