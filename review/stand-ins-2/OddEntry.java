import java.io.*;
import java.net.Socket;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 9. Another writer replaces the entry of a worker by one whose fields are of other types and missing, and which
 * tells another service. It names no worker to use, so no request of that service may run there.
 */
final class OddEntry {
    private static final int ROUNDS = 6;
    private static final int CALLERS = 8;

    public static void main(String[] args) {
        Case.run(() -> play(Path.of(args[0])));
    }

    private static int play(Path file) throws Exception {
        boolean trouble = Case.trouble();
        Worker.Service orders = new Worker.Service("orders", Worker.Kind.PLAIN, 6, 24, 60, 0, 0, 0);
        Worker.Service invoices = new Worker.Service("invoices", Worker.Kind.PLAIN, 6, 24, 60, 0, 0, 0);
        AtomicInteger wrong = new AtomicInteger(), right = new AtomicInteger();
        Map<Integer, AtomicInteger> statuses = new ConcurrentSkipListMap<>();
        try (Record record = new Record(file); Fleet fleet = new Fleet(2)) {
            Worker.Listener listener = new Worker.Listener() {
                @Override
                public void onRun(Worker worker, Http.Request request) {
                    String id = request.header("x-attempt-id");
                    boolean allowed = request.target.startsWith(worker.service == orders ? "/order/" : "/invoice/");
                    record.line("run request=" + id + " " + request.target + " at " + worker.id + " of " + worker.service.name());
                    if (allowed) { right.incrementAndGet(); return; }
                    wrong.incrementAndGet();
                    record.say("BROKEN: request " + id + " for " + request.target + " runs at a worker of " + worker.service.name());
                }
            };
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                workers.add(new Worker(fleet.workerIp(i), 0, i < 3 ? orders : invoices, "z-" + "ab".charAt(i % 2), fleet.store,
                    listener).begin(0));
            }
            fleet.configure(7, route("r1", "/order/", "orders") + "," + route("r2", "/invoice/", "invoices"),
                Fleet.service(orders, 110, 0, 0) + "," + Fleet.service(invoices, 110, 0, 0));
            fleet.startGateways();
            Thread.sleep(1_000);
            record.say("ready; trouble=" + trouble);
            long endMs = record.ms() + ROUNDS * 5_000;
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Gateway gateway = fleet.gateways.get(i % 2);
                String path = i % 4 < 3 ? "/order/x" : "/invoice/x";
                callers.add(Http.daemon("caller", () -> call(gateway, path, endMs, record, statuses)));
            }
            for (int round = 0; round < ROUNDS; round++) {
                Thread.sleep(4_500);
                if (!trouble) continue;
                Worker worker = workers.get(3 + round % 3);
                record.say("another writer replaces the entry of " + worker.id);
                fleet.store.put("servers/" + worker.id, ("{\"service\":\"orders\",\"address\":\"%s\",\"zone\":\"%s\",\"slots\":\"6\"," +
                    "\"phase\":\"ready\",\"cold_remaining_ms\":\"0\"}").formatted(worker.hostPort(), worker.zone));
            }
            for (Thread caller : callers) caller.join();
        }
        System.out.println("run at the right service " + right + ", at another one " + wrong + ", statuses " + statuses);
        return wrong.get() > 0 ? 1 : right.get() > 100 ? 0 : 2;
    }

    private static String route(String name, String prefix, String service) {
        return ("{\"name\":\"%s\",\"host\":\"a.example\",\"prefix\":\"%s\",\"route_kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":300," +
            "\"priority\":0,\"service\":\"%s\",\"max_attempts\":1,\"stages\":[],\"anonymous\":false,\"sticky\":false,\"resumable\":false}")
            .formatted(name, prefix, service);
    }

    private static void call(Gateway gateway, String path, long endMs, Record record, Map<Integer, AtomicInteger> statuses) {
        while (record.ms() < endMs) {
            String id = Case.newId();
            try (Socket socket = Fleet.connect(gateway, 5_000)) {
                record.line("sent request=" + id + " " + path + " to " + gateway.name);
                socket.getOutputStream().write(Http.head("POST " + path + " HTTP/1.1", "Host", "a.example", "X-Attempt-Id", id,
                    "X-Deadline-Ms", "4000", "Authorization", "Bearer key1", "Content-Length", "0"));
                int status = Http.readResponse(new BufferedInputStream(socket.getInputStream())).status;
                record.line("answered request=" + id + " status=" + status);
                statuses.computeIfAbsent(status, it -> new AtomicInteger()).incrementAndGet();
                Thread.sleep(100);
            } catch (IOException | InterruptedException e) {
                record.line("no answer request=" + id + " " + e);
            }
        }
    }
}
