import java.io.*;
import java.net.Socket;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 6. A pipeline encodes a query (stage 0), retrieves texts (stage 1), finds image features and images (stages 2 and
 * 3), and ranks the texts and the images (stages 4 and 5); each ranking needs the encoded query. One of six encoders
 * crashes from time to time. No piece may be given only some of its inputs.
 */
final class PartialInputs {
    /** Pieces of the stages of each request. */
    private static final int[] PIECES = {1, 10, 4, 10, 1, 1};
    private static final int[][] AFTER = {{}, {}, {}, {2}, {0, 1}, {0, 3}};
    private static final int CALLERS = 60;
    private static final int CRASHES = 12;

    public static void main(String[] args) {
        Case.run(() -> play(Path.of(args[0])));
    }

    private static int play(Path file) throws Exception {
        boolean trouble = Case.trouble();
        Worker.Service encode = new Worker.Service("encode", Worker.Kind.STAGE, 1, 2, 240, 15, 14, 4);
        Worker.Service retrieve = new Worker.Service("retrieve", Worker.Kind.STAGE, 1, 2, 240, 29.7, 14, 4);
        Worker.Service features = new Worker.Service("features", Worker.Kind.STAGE, 1, 2, 240, 29.7, 14, 4);
        Worker.Service images = new Worker.Service("images", Worker.Kind.STAGE, 1, 2, 240, 29.7, 14, 4);
        Worker.Service rank = new Worker.Service("rank", Worker.Kind.STAGE, 1, 2, 240, 5, 40, 4);
        Worker.Service model = new Worker.Service("model", Worker.Kind.MODEL, 64, 134, 20, 5, 0, 0);
        AtomicInteger pieces = new AtomicInteger(), broken = new AtomicInteger(), ok = new AtomicInteger();
        Map<Integer, AtomicInteger> statuses = new ConcurrentSkipListMap<>();
        try (Record record = new Record(file); Fleet fleet = new Fleet(2)) {
            Worker.Listener listener = new Worker.Listener() {
                @Override
                public void onPiece(Worker worker, String request, int stage, int piece, List<String> inputs) {
                    pieces.incrementAndGet();
                    int needed = Arrays.stream(AFTER[stage]).map(it -> PIECES[it]).sum();
                    record.line("piece request=" + request + " stage=" + stage + " piece=" + piece + " inputs=" + inputs.size() +
                        "/" + needed + " at " + worker.id);
                    if (inputs.size() == needed) return;
                    broken.incrementAndGet();
                    record.say("BROKEN: stage " + stage + " of request " + request + " is given " + inputs.size() + " of " +
                        needed + " inputs");
                }

                @Override
                public void onRun(Worker worker, Http.Request request) {
                    record.line("run request=" + request.header("x-attempt-id") + " at " + worker.id);
                }
            };
            int ip = 0;
            List<Worker> encoders = new ArrayList<>();
            Map<Worker.Service, Integer> counts = new LinkedHashMap<>();
            counts.put(encode, 6);
            counts.put(retrieve, 16);
            counts.put(features, 8);
            counts.put(images, 16);
            counts.put(rank, 4);
            counts.put(model, 3);
            String[] zones = {"z-a", "z-b", "z-c"};
            for (var entry : counts.entrySet()) {
                for (int i = 0; i < entry.getValue(); i++) {
                    Worker worker = new Worker(fleet.workerIp(ip++), 0, entry.getKey(), zones[i % 2], fleet.store, listener);
                    worker.begin(0);
                    if (entry.getKey() == encode) encoders.add(worker);
                }
            }
            String stage = "{\"service\":\"%s\",\"after\":[%s],\"bytes\":8000}";
            String route = "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/gen/\",\"route_kind\":\"streaming\",\"timeout_ms\":12000," +
                "\"target_latency_ms\":4000,\"priority\":0,\"service\":\"model\",\"max_attempts\":2,\"stages\":[" +
                String.join(",", stage.formatted("encode", ""), stage.formatted("retrieve", ""), stage.formatted("features", ""),
                    stage.formatted("images", "2"), stage.formatted("rank", "0,1"), stage.formatted("rank", "0,3")) + "],\"anonymous\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300}";
            StringJoiner services = new StringJoiner(",");
            counts.keySet().forEach(it -> services.add(Fleet.service(it, 370, 0, 0)));
            fleet.configure(7, route, services.toString());
            fleet.startGateways();
            Thread.sleep(2_000);
            record.say("ready; trouble=" + trouble);
            long endMs = record.ms() + 75_000;
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Gateway gateway = fleet.gateways.get(i % 2);
                int number = i;
                callers.add(Http.daemon("caller " + i, () -> call(gateway, number, endMs, record, ok, statuses)));
            }
            for (int i = 0; trouble && i < CRASHES; i++) {
                Thread.sleep(5_700);
                int index = i % encoders.size();
                Worker worker = encoders.get(index);
                record.say("worker " + worker.id + " of encode crashes");
                worker.crash();
                Worker next = new Worker(worker.address.getAddress().getHostAddress(), 0, encode, worker.zone, fleet.store, listener);
                encoders.set(index, next);
                Http.daemon("back", () -> {
                    try { Thread.sleep(4_500); } catch (InterruptedException e) { return; }
                    next.begin(0);
                });
            }
            for (Thread caller : callers) caller.join();
        }
        System.out.println("pieces " + pieces + ", answered 200 " + ok + ", statuses " + statuses + ", broken " + broken);
        return broken.get() > 0 ? 1 : ok.get() > 100 ? 0 : 2;
    }

    private static void call(Gateway gateway, int number, long endMs, Record record, AtomicInteger ok, Map<Integer, AtomicInteger> statuses) {
        Random random = new Random(number);
        while (record.ms() < endMs) {
            String id = Case.newId();
            try (Socket socket = Fleet.connect(gateway, 13_000)) {
                record.line("sent request=" + id + " to " + gateway.name);
                socket.getOutputStream().write(Http.head("POST /gen/x HTTP/1.1", "Host", "a.example", "X-Attempt-Id", id, "X-Model", "m",
                    "X-Token-Count", "100,10", "X-Prompt-Prefix", "aa:50," + id + ":50", "X-Deadline-Ms", "12000", "Authorization",
                    "Bearer key1", "X-Pieces", "1,10,4,10,1,1", "X-Piece-Key", "k" + id, "Content-Length", "0"));
                Http.Response response = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
                record.line("answered request=" + id + " status=" + response.status);
                statuses.computeIfAbsent(response.status, it -> new AtomicInteger()).incrementAndGet();
                if (response.status == 200) ok.incrementAndGet();
                else Thread.sleep(500);
                Thread.sleep(random.nextInt(1_000) + 1_000);
            } catch (IOException e) {
                record.line("no answer request=" + id + " " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
