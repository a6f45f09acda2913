import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters send small orders on kept channels. During bursts, others send designs whose bodies are within
 * max_body_bytes. Checks how many orders are still without an answer half a second after their route's timeout.
 */
final class LargeBodies implements Main.Case {
    private static final int RUN_MS = 90_000;
    private static final int ORDER_CLIENTS = 12;
    private static final int ORDER_PAUSE_MS = 250;
    private static final int WORK_MS = 60;
    private static final int DESIGN_WORK_MS = 2_500;
    private static final int DESIGN_DEADLINE_MS = 15_000;
    private static final int TIMEOUT_MS = 2_000;
    private static final int DEADLINE_MS = 4_000;
    private static final int CHECK_MS = TIMEOUT_MS + 500;
    private static final int BODY_BYTES = 2_000_000;

    /** A requester sends 50,000 bytes every 35 ms: all together use 114 of the 125 MB/s of one machine's link. */
    private static final int PART_BYTES = 50_000;
    private static final int PART_MS = 35;

    /** The dose: so many requesters at once, in bursts of this length with a pause between them. */
    private static final int UPLOAD_CLIENTS = 80;
    private static final int BURST_MS = 5_000;
    private static final int PAUSE_MS = 3_000;

    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> orders = new ConcurrentHashMap<>();
    private final Map<String, Integer> uploads = new ConcurrentHashMap<>();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();

    @Override
    public void run(Lab lab) throws Exception {
        for (int i = 1; i <= 4; i++) {
            Http.Server worker = new Http.Server(lab.nextHost(), 0, (request, socket) -> work(lab, request, socket));
            lab.resources.add(worker);
            lab.register("i-app-" + i, "app", worker.address(), "ready", System.currentTimeMillis(), 0);
        }
        lab.publish(1, Lab.route("order", "unsafe", "app", TIMEOUT_MS, 1, "") + ","
            + Lab.route("design", "unsafe", "app", DESIGN_DEADLINE_MS, 1, ""), Lab.service("app", 0, ""));
        lab.createGateways(2);
        lab.startGateways();
        Balancer balancer = new Balancer(lab);
        List<Thread> clients = new ArrayList<>();
        long untilMs = lab.nowMs() + RUN_MS;
        for (int i = 0; i < ORDER_CLIENTS; i++) clients.add(Http.daemon(() -> orders(lab, balancer, untilMs)));
        if (lab.trouble) {
            for (int i = 0; i < UPLOAD_CLIENTS; i++) Http.daemon(() -> uploads(lab, balancer, untilMs));
        }
        for (Thread client : clients) client.join();
        lab.record("orders: %s; designs: %s", Lab.tally(orders), Lab.tally(uploads));
        for (Gateway gateway : lab.gateways) {
            lab.record("%s: process %s, readiness %s", gateway.name, gateway.isAlive() ? "alive" : "ended",
                gateway.isReady() ? "200" : "no answer or not 200");
        }
        int atTimeout = unansweredAtTimeout.get();
        int later = unansweredLater.get();
        lab.record("unanswered at timeout_ms: %d, of these half a second later: %d", atTimeout, later);
        if (later * 2 > atTimeout && later >= 3) {
            lab.violation("CONFIG: %d of %d unanswered requests have no answer half a second later", later, atTimeout);
        }
    }

    private void work(Lab lab, Http.Message request, Socket socket) throws Exception {
        String attempt = request.header("X-Attempt-Id");
        ran.add(attempt);
        lab.record("worker   runs %s, %d bytes", attempt, request.body().length);
        Thread.sleep(request.path().startsWith("/design") ? DESIGN_WORK_MS : WORK_MS);
        String headers = "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s." + attempt + "\r\n";
        Http.respond(socket, 200, headers, "answer to " + attempt);
    }

    /** One requester with a kept channel; it opens a new one after it was closed or an order was given up. */
    private void orders(Lab lab, Balancer balancer, long untilMs) {
        while (lab.nowMs() < untilMs) {
            Gateway gateway = balancer.choose();
            try (Socket socket = Http.connect(gateway.frontend(), 1_000)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (lab.nowMs() < untilMs) {
                    String status = order(lab, gateway, socket, in);
                    orders.merge(status, 1, Integer::sum);
                    if (status.equals("closed") || status.equals("none")) break;
                    Thread.sleep(ORDER_PAUSE_MS);
                }
            } catch (Exception e) {
                orders.merge("no channel", 1, Integer::sum);
            }
        }
    }

    private String order(Lab lab, Gateway gateway, Socket socket, InputStream in) throws Exception {
        String attempt = lab.attemptId();
        long sentMs = lab.nowMs();
        lab.record("order    %s sent to %s", attempt, gateway.name);
        Http.Message answer = null;
        String status = "closed";
        try {
            Http.write(socket, Lab.head("POST", "/order/x", attempt, DEADLINE_MS, "Content-Length: 0\r\n"));
            in.mark(1);
            if (!arrives(socket, in, TIMEOUT_MS)) {
                unansweredAtTimeout.incrementAndGet();
                if (!arrives(socket, in, CHECK_MS - TIMEOUT_MS)) {
                    unansweredLater.incrementAndGet();
                    if (!arrives(socket, in, DEADLINE_MS - CHECK_MS)) status = "none";
                }
            }
            socket.setSoTimeout(1_000);
            if (!status.equals("none")) answer = Http.read(in, true, false);
        } catch (java.io.IOException e) {
            // the channel ended
        }
        if (answer != null && answer.body() != null) status = "" + answer.status();
        lab.record("order    %s %s after %d ms%s", attempt, status, lab.nowMs() - sentMs,
            ran.contains(attempt) ? ", has run" : "");
        return status;
    }

    /** Waits for the first byte or the end of the channel, and leaves the byte to be read. */
    private static boolean arrives(Socket socket, InputStream in, int timeoutMs) throws Exception {
        socket.setSoTimeout(timeoutMs);
        in.mark(1);
        try {
            in.read();
            in.reset();
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    private void uploads(Lab lab, Balancer balancer, long untilMs) {
        byte[] body = new byte[BODY_BYTES];
        while (lab.nowMs() < untilMs) {
            try {
                long phaseMs = lab.nowMs() % (BURST_MS + PAUSE_MS);
                if (phaseMs >= BURST_MS) {
                    Thread.sleep(BURST_MS + PAUSE_MS - phaseMs);
                    continue;
                }
                upload(lab, balancer.choose(), body);
            } catch (Exception e) {
                uploads.merge("closed", 1, Integer::sum);
            }
        }
    }

    private void upload(Lab lab, Gateway gateway, byte[] body) throws Exception {
        String attempt = lab.attemptId();
        try (Socket socket = Http.connect(gateway.frontend(), 1_000)) {
            Thread giveUp = Http.daemon(() -> {
                try {
                    Thread.sleep(DESIGN_DEADLINE_MS);
                    socket.close();
                } catch (Exception e) {
                    // answered
                }
            });
            Http.write(socket, Lab.head("POST", "/design/x", attempt, DESIGN_DEADLINE_MS,
                "Content-Length: " + body.length + "\r\n"));
            int sent = 0;
            while (sent < body.length) {
                int size = Math.min(PART_BYTES, body.length - sent);
                socket.getOutputStream().write(body, sent, size);
                sent += size;
                Thread.sleep(PART_MS);
            }
            Http.Message answer = Http.read(socket.getInputStream(), true, false);
            giveUp.interrupt();
            String status = answer == null || answer.body() == null ? "closed" : "" + answer.status();
            uploads.merge(status, 1, Integer::sum);
            lab.record("design   %s to %s: %s", attempt, gateway.name, status);
        }
    }
}
