import java.io.*;
import java.net.Socket;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 8. Three gateways send to two model workers, which are cold for a while. One gateway freezes for four seconds and
 * wakes again. No cold worker may get more than cold_per_s x cold_overshoot + cold_slack requests in a second.
 */
final class ColdWorkers {
    private static final double COLD_PER_S = 14;
    private static final int BOUND = (int) (COLD_PER_S * 1.5 + 5);
    private static final int PER_S = 70;
    private static final int ROUNDS = 6;

    private record Arrival(long sentMs, long atMs) {}

    public static void main(String[] args) {
        Case.run(() -> play(Path.of(args[0])));
    }

    private static int play(Path file) throws Exception {
        boolean trouble = Case.trouble();
        Worker.Service model = new Worker.Service("model", Worker.Kind.MODEL, 64, 134, 60, 5, 0, 0);
        Map<String, Long> sentAt = new ConcurrentHashMap<>();
        Map<Worker, List<Arrival>> cold = new ConcurrentHashMap<>();
        Map<String, AtomicInteger> results = new ConcurrentSkipListMap<>();
        int broken = 0;
        try (Record record = new Record(file); Fleet fleet = new Fleet(3)) {
            Worker.Listener listener = new Worker.Listener() {
                @Override
                public void onRun(Worker worker, Http.Request request) {
                    String id = request.header("x-attempt-id");
                    boolean isCold = worker.coldUntilMs > Worker.nowMs();
                    record.line("run request=" + id + " at " + worker.id + (isCold ? " cold" : ""));
                    if (isCold) cold.computeIfAbsent(worker, it -> Collections.synchronizedList(new ArrayList<>()))
                        .add(new Arrival(sentAt.get(id), record.ms()));
                }
            };
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                workers.add(new Worker(fleet.workerIp(i), 0, model, "z-" + "ab".charAt(i), fleet.store, listener).begin(0));
            }
            fleet.configure(7, "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/gen/\",\"route_kind\":\"streaming\",\"timeout_ms\":4000," +
                "\"target_latency_ms\":1000,\"priority\":0,\"service\":\"model\",\"max_attempts\":1,\"stages\":[],\"anonymous\":false," +
                "\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300}", Fleet.service(model, 370, 3.0, COLD_PER_S));
            fleet.startGateways();
            Thread.sleep(3_000);
            record.say("ready; trouble=" + trouble);
            Set<Gateway> rotation = ConcurrentHashMap.newKeySet();
            Set<Gateway> frozen = ConcurrentHashMap.newKeySet();
            rotation.addAll(fleet.gateways);
            for (Gateway gateway : fleet.gateways) Http.daemon("checks", () -> check(gateway, rotation, record));
            ExecutorService pool = Executors.newCachedThreadPool(it -> { Thread t = new Thread(it); t.setDaemon(true); return t; });
            Http.daemon("traffic", () -> {
                Random random = new Random(1);
                while (true) {
                    List<Gateway> targets = new ArrayList<>(rotation);
                    Gateway gateway = targets.get(random.nextInt(targets.size()));
                    String id = Case.newId();
                    pool.submit(() -> send(gateway, id, sentAt, frozen, record, results));
                    try { Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / PER_S)); } catch (InterruptedException e) { return; }
                }
            });
            for (int round = 0; round < ROUNDS; round++) {
                Thread.sleep(5_000);
                Gateway gateway = fleet.gateways.get(round % 3);
                if (trouble) {
                    record.say(gateway.name + " freezes");
                    frozen.add(gateway);
                    gateway.signal("STOP");
                }
                Thread.sleep(2_500);
                for (Worker worker : workers) {
                    worker.coldUntilMs = Worker.nowMs() + 3_000;
                    worker.register();
                }
                Thread.sleep(1_500);
                if (trouble) {
                    frozen.remove(gateway);
                    gateway.signal("CONT");
                    record.say(gateway.name + " wakes");
                }
                Thread.sleep(2_000);
                for (Worker worker : workers) {
                    List<Arrival> arrivals = cold.remove(worker);
                    if (arrivals == null) continue;
                    int most = 0;
                    for (Arrival first : arrivals) {
                        int count = 0;
                        for (Arrival it : arrivals) {
                            if (it.sentMs >= first.atMs - 200 && it.atMs < first.atMs - 200 + 1_000) count++;
                        }
                        most = Math.max(most, count);
                    }
                    record.say((most > BOUND ? "BROKEN: " : "") + "cold worker " + worker.id + " got at most " + most +
                        " requests in a second; the bound is " + BOUND);
                    if (most > BOUND) broken++;
                }
            }
        }
        System.out.println("results " + results + ", broken " + broken);
        return broken > 0 ? 1 : 0;
    }

    /** The platform's check, once a second: two misses take a gateway out, an answer 200 takes it in again. */
    private static void check(Gateway gateway, Set<Gateway> rotation, Record record) {
        int misses = 0;
        while (true) {
            if (gateway.ready()) {
                misses = 0;
                if (rotation.add(gateway)) record.line(gateway.name + " is in rotation");
            } else if (++misses == 2) {
                rotation.remove(gateway);
                record.line(gateway.name + " is out of rotation");
            }
            try { Thread.sleep(misses > 0 ? 100 : 1_000); } catch (InterruptedException e) { return; }
        }
    }

    private static void send(Gateway gateway, String id, Map<String, Long> sentAt, Set<Gateway> frozen, Record record,
        Map<String, AtomicInteger> results) {
        String result;
        try (Socket socket = Fleet.connect(gateway, 1_000)) {
            sentAt.put(id, record.ms());
            record.line("sent request=" + id + " to " + gateway.name);
            socket.getOutputStream().write(Http.head("POST /gen/x HTTP/1.1", "Host", "a.example", "X-Attempt-Id", id, "X-Model", "m",
                "X-Token-Count", "100,10", "X-Prompt-Prefix", id + ":50," + id + ":50", "X-Deadline-Ms", "4000",
                "Authorization", "Bearer key1", "Content-Length", "0"));
            result = String.valueOf(Http.readResponse(new BufferedInputStream(socket.getInputStream())).status);
        } catch (IOException e) {
            result = frozen.contains(gateway) ? "abandoned" : "closed";
        }
        record.line("answered request=" + id + " " + result);
        results.computeIfAbsent(result, it -> new AtomicInteger()).incrementAndGet();
    }
}
