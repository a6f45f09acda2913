import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Another writer registers servers of a service that no configuration names, under ids such as r&d-07. Then the store
 * discards its history, and the operator adds a route. Checks that the route is served.
 */
final class OddKeys implements Main.Case {
    private static final int ENTRIES = 60;
    private static final int WORKERS = 4;
    private static final int APPLY_MS = 2_000;
    private static final int CHECK_S = 40;

    @Override
    public void run(Lab lab) throws Exception {
        long born = System.currentTimeMillis();
        String[] addresses = new String[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            Http.Server worker = new Http.Server(lab.nextHost(), 0, (request, socket) -> work(lab, request, socket));
            lab.resources.add(worker);
            addresses[i] = worker.address();
            lab.register("i-app-" + i, "app", addresses[i], "ready", born, 0);
        }
        String first = Lab.route("order", "unsafe", "app", 2_000, 1, "");
        lab.publish(1, first, Lab.service("app", 0, ""));
        lab.createGateways(3);
        lab.startGateways();
        Thread.sleep(3_000);
        String prefix = lab.trouble ? "r&d-" : "rnd-";
        for (int i = 1; i <= ENTRIES; i++) {
            lab.store.put("servers/%s%02d".formatted(prefix, i), "{\"service\":\"lab-bench\",\"state\":\"spare\"}");
        }
        lab.record("another writer has written %d entries, servers/%s01 and so on", ENTRIES, prefix);
        Thread.sleep(5_000);
        lab.store.compact(() -> lab.register("i-app-0", "app", addresses[0], "ready", born, 0));
        lab.record("the store has discarded its history");
        Thread.sleep(5_000);
        lab.publish(2, first + "," + Lab.route("stock", "safe", "app", 2_000, 2, ""), Lab.service("app", 0, ""));
        lab.record("version 2, which adds the route /stock/, is confirmed");
        Thread.sleep(APPLY_MS + 500);
        Map<String, Integer> answers = new ConcurrentHashMap<>();
        for (int second = 0; second < CHECK_S; second++) {
            for (Gateway gateway : lab.gateways) Http.daemon(() -> ask(lab, gateway, answers));
            Thread.sleep(1_000);
        }
        Thread.sleep(3_000);
        lab.record("answers to requests on /stock/ and /order/: %s; calls to the store: %d", Lab.tally(answers),
            lab.store.calls());
        for (Gateway gateway : lab.gateways) {
            lab.record("%s: process %s, readiness %s", gateway.name, gateway.isAlive() ? "alive" : "ended",
                gateway.isReady() ? "200" : "no answer or not 200");
        }
    }

    private void ask(Lab lab, Gateway gateway, Map<String, Integer> answers) {
        for (String route : List.of("stock", "order")) {
            String attempt = lab.attemptId();
            String head = Lab.head(route.equals("stock") ? "GET" : "POST", "/" + route + "/x", attempt, 2_000,
                route.equals("stock") ? "" : "Content-Length: 0\r\n");
            Http.Message answer = Lab.call(gateway.frontend(), head, 2_500);
            String status = answer == null ? "none" : "" + answer.status();
            lab.record("request  %s /%s/ at %s: %s", attempt, route, gateway.name, status);
            answers.merge(route + " " + status, 1, Integer::sum);
            if (route.equals("stock") && status.equals("404")) {
                lab.violation("CONFIG: %s is refused with 404 by %s though the route is there", attempt, gateway.name);
            }
        }
    }

    private void work(Lab lab, Http.Message request, Socket socket) throws Exception {
        String attempt = request.header("X-Attempt-Id");
        lab.record("worker   runs %s", attempt);
        Http.respond(socket, 200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s." + attempt + "\r\n", "ok");
    }
}
