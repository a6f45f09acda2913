import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The operator has added many routes, and sends further versions in quick succession, storm after storm. Checks that
 * the last version is applied, by requests on the route that it adds.
 */
final class ConfigStorm implements Main.Case {
    /** The dose: routes more, versions a storm, the gap between them, and the pause between storms. */
    private static final int ROUTES = 350;
    private static final int VERSIONS = 25;
    private static final int GAP_MS = 80;
    private static final int PAUSE_MS = 250;
    private static final int STORM_RUN_MS = 80_000;
    private static final int APPLY_MS = 2_000;
    private static final int CHECK_S = 12;

    @Override
    public void run(Lab lab) throws Exception {
        for (int i = 1; i <= 4; i++) {
            Http.Server worker = new Http.Server(lab.nextHost(), 0, (request, socket) -> work(lab, request, socket));
            lab.resources.add(worker);
            lab.register("i-app-" + i, "app", worker.address(), "ready", System.currentTimeMillis(), 0);
        }
        publish(lab, 1, 0, "");
        lab.createGateways(3);
        lab.startGateways();
        int version = 2;
        publish(lab, version, ROUTES, "");
        lab.record("version %d, with %d routes more, is confirmed", version, ROUTES);
        long untilMs = lab.nowMs() + STORM_RUN_MS;
        while (lab.nowMs() < untilMs) {
            if (lab.trouble) {
                for (int i = 0; i < VERSIONS; i++) {
                    publish(lab, ++version, ROUTES, "");
                    Thread.sleep(GAP_MS);
                }
                lab.record("version %d is confirmed", version);
            }
            probe(lab, "order", new ConcurrentHashMap<>());
            Thread.sleep(lab.trouble ? PAUSE_MS : 1_000);
        }
        publish(lab, ++version, ROUTES, "," + Lab.route("stock", "safe", "app", 2_000, 2, ""));
        lab.record("version %d, which adds the route /stock/, is confirmed", version);
        Thread.sleep(APPLY_MS + 500);
        Map<String, Integer> answers = new ConcurrentHashMap<>();
        for (int second = 0; second < CHECK_S; second++) {
            probe(lab, "stock", answers);
            Thread.sleep(1_000);
        }
        Thread.sleep(3_000);
        lab.record("answers to requests on /stock/: %s", Lab.tally(answers));
        for (Gateway gateway : lab.gateways) {
            lab.record("%s: process %s, readiness %s", gateway.name, gateway.isAlive() ? "alive" : "ended",
                gateway.isReady() ? "200" : "no answer or not 200");
        }
    }

    /** Publishes a version in which the time-out of the first route differs from that of the version before. */
    private static void publish(Lab lab, int version, int more, String extra) {
        List<String> routes = new ArrayList<>();
        routes.add(Lab.route("order", "unsafe", "app", 2_000 + version % 7, 1, ""));
        for (int i = 0; i < more; i++) {
            routes.add(Lab.route("puxa%03d/fi%02d".formatted(i, i % 100), "safe", "app", 2_000, 2, ""));
        }
        lab.publish(version, String.join(",", routes) + extra, Lab.service("app", 0, ""));
    }

    private void probe(Lab lab, String route, Map<String, Integer> answers) {
        for (Gateway gateway : lab.gateways) Http.daemon(() -> ask(lab, gateway, route, answers));
    }

    private void ask(Lab lab, Gateway gateway, String route, Map<String, Integer> answers) {
        String attempt = lab.attemptId();
        String head = Lab.head(route.equals("stock") ? "GET" : "POST", "/" + route + "/x", attempt, 2_000,
            route.equals("stock") ? "" : "Content-Length: 0\r\n");
        Http.Message answer = Lab.call(gateway.frontend(), head, 2_600);
        String status = answer == null ? "none" : "" + answer.status();
        lab.record("request  %s /%s/ at %s: %s", attempt, route, gateway.name, status);
        answers.merge(status, 1, Integer::sum);
        if (route.equals("stock") && status.equals("404")) {
            lab.violation("CONFIG: %s is refused with 404 by %s though the route is there", attempt, gateway.name);
        }
    }

    private void work(Lab lab, Http.Message request, Socket socket) throws Exception {
        String attempt = request.header("X-Attempt-Id");
        lab.record("worker   runs %s", attempt);
        Thread.sleep(ThreadLocalRandom.current().nextInt(20, 60));
        Http.respond(socket, 200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s." + attempt + "\r\n", "ok");
    }
}
