import java.io.*;
import java.net.Socket;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 10. The store does a heartbeat of a worker late and does not answer it. Meanwhile the worker has reported that it
 * drains. No request may reach it later than drain_ms after that report was accepted.
 */
final class LateWrite {
    private static final int ROUNDS = 6;
    private static final int CALLERS = 16;
    private static final long DRAIN_MS = 2_000;

    public static void main(String[] args) {
        Case.run(() -> play(Path.of(args[0])));
    }

    private static int play(Path file) throws Exception {
        boolean trouble = Case.trouble();
        Worker.Service orders = new Worker.Service("orders", Worker.Kind.PLAIN, 6, 24, 250, 0, 0, 0);
        Map<Worker, Long> drainingAtMs = new ConcurrentHashMap<>();
        Map<String, Long> sentAtMs = new ConcurrentHashMap<>();
        Set<String> late = ConcurrentHashMap.newKeySet();
        AtomicInteger runs = new AtomicInteger(), lost = new AtomicInteger();
        Map<Integer, AtomicInteger> statuses = new ConcurrentSkipListMap<>();
        try (Record record = new Record(file); Fleet fleet = new Fleet(4)) {
            Worker.Listener listener = new Worker.Listener() {
                @Override
                public void onRun(Worker worker, Http.Request request) {
                    String id = request.header("x-attempt-id");
                    runs.incrementAndGet();
                    Long at = drainingAtMs.get(worker);
                    long afterMs = at == null ? -1 : record.ms() - at;
                    record.line("run request=" + id + " at " + worker.id + (at == null ? "" : ", draining for " + afterMs + " ms"));
                    if (afterMs <= DRAIN_MS) return;
                    late.add(id);
                    record.say("BROKEN: request " + id + " reaches " + worker.id + " " + afterMs + " ms after it was accepted as draining; " +
                        "it was sent " + (record.ms() - sentAtMs.get(id)) + " ms ago");
                }
            };
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                workers.add(new Worker(fleet.workerIp(i), 0, orders, "z-" + "ab".charAt(i % 2), fleet.store, listener).begin(0));
            }
            fleet.configure(7, "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/order/\",\"route_kind\":\"unsafe\",\"timeout_ms\":2000," +
                "\"target_latency_ms\":600,\"priority\":0,\"service\":\"orders\",\"max_attempts\":1,\"stages\":[],\"anonymous\":false," +
                "\"sticky\":false,\"resumable\":false}", Fleet.service(orders, 110, 0, 0));
            fleet.startGateways();
            Thread.sleep(4_000);
            record.say("ready; trouble=" + trouble);
            long endMs = record.ms() + ROUNDS * 10_000;
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Gateway gateway = fleet.gateways.get(i % 4);
                callers.add(Http.daemon("caller", () -> call(gateway, endMs, record, sentAtMs, late, lost, statuses)));
            }
            for (int round = 0; round < ROUNDS; round++) {
                Worker worker = workers.get(round % 4);
                String heartbeat = worker.nextEntry();
                record.say("a heartbeat of " + worker.id + " is not answered");
                Http.daemon("late write", () -> {
                    try { Thread.sleep(5_900); } catch (InterruptedException e) { return; }
                    if (trouble) {
                        fleet.store.put("servers/" + worker.id, heartbeat);
                        record.say("the heartbeat is done, 5.9 s late");
                    }
                });
                Thread.sleep(3_200);
                worker.drain();
                drainingAtMs.put(worker, record.ms());
                record.say(worker.id + " is accepted as draining");
                Thread.sleep(DRAIN_MS + 1_150);
                worker.leave();
                record.say(worker.id + " has left");
                workers.set(round % 4, new Worker(worker.address.getAddress().getHostAddress(), 0, orders, worker.zone, fleet.store, listener)
                    .begin(0));
                Thread.sleep(3_000);
            }
            for (Thread caller : callers) caller.join();
        }
        System.out.println("runs " + runs + ", reached a draining worker too late " + late.size() + ", of these without its answer " + lost +
            ", statuses " + statuses);
        return late.size() > 0 ? 1 : runs.get() > 100 ? 0 : 2;
    }

    private static void call(Gateway gateway, long endMs, Record record, Map<String, Long> sentAtMs, Set<String> late, AtomicInteger lost,
        Map<Integer, AtomicInteger> statuses) {
        while (record.ms() < endMs) {
            String id = Case.newId();
            try (Socket socket = Fleet.connect(gateway, 5_000)) {
                sentAtMs.put(id, record.ms());
                record.line("sent request=" + id + " to " + gateway.name);
                socket.getOutputStream().write(Http.head("POST /order/x HTTP/1.1", "Host", "a.example", "X-Attempt-Id", id, "X-Deadline-Ms", "2000",
                    "Authorization", "Bearer key1", "Content-Length", "0"));
                int status = Http.readResponse(new BufferedInputStream(socket.getInputStream())).status;
                record.line("answered request=" + id + " status=" + status);
                statuses.computeIfAbsent(status, it -> new AtomicInteger()).incrementAndGet();
                if (status != 200 && late.contains(id)) lost.incrementAndGet();
                Thread.sleep(200 + ThreadLocalRandom.current().nextInt(600));
            } catch (IOException | InterruptedException e) {
                record.line("no answer request=" + id + " " + e);
            }
        }
    }
}
