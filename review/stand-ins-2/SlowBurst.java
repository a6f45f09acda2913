import java.io.*;
import java.net.Socket;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 7. Many requesters come at once, 70 at each of two gateways, and read answers of 3.5 MB over links of 5 Mbit/s. A
 * request that a gateway has passed on to a sound worker is answered, and no process hangs: short requests are answered
 * afterwards.
 */
final class SlowBurst {
    private static final int ANSWER_BYTES = 3_500_000;
    private static final int LINK_BYTES_PER_S = 600_000;
    private static final int REQUESTERS_PER_GATEWAY = 70;
    private static final int BURST_MS = 30_000;
    private static final int ALLOWED = 3;

    public static void main(String[] args) throws Exception {
        Case.run(() -> play(Path.of(args[0])));
    }

    private static int play(Path file) throws Exception {
        boolean trouble = Case.trouble();
        Worker.Service documents = new Worker.Service("documents", Worker.Kind.PLAIN, 6, 24, 100, 0, 0, 0);
        Map<String, AtomicInteger> results = new ConcurrentSkipListMap<>();
        Set<String> run = ConcurrentHashMap.newKeySet();
        int hung = 0;
        try (Record record = new Record(file); Fleet fleet = new Fleet(2)) {
            Worker.Listener listener = new Worker.Listener() {
                @Override
                public void onRun(Worker worker, Http.Request request) {
                    run.add(request.header("x-attempt-id"));
                    record.line("run request=" + request.header("x-attempt-id") + " at " + worker.id);
                }

                @Override
                public byte[] answer(Http.Request request) {
                    return request.target.equals("/doc/long") ? new byte[ANSWER_BYTES] : null;
                }
            };
            for (int i = 0; i < 6; i++) {
                new Worker(fleet.workerIp(i), 0, documents, "z-" + "ab".charAt(i % 2), fleet.store, listener).begin(0);
            }
            fleet.configure(7, "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/doc/\",\"route_kind\":\"safe\",\"timeout_ms\":15000," +
                "\"target_latency_ms\":2000,\"priority\":0,\"service\":\"documents\",\"max_attempts\":2,\"stages\":[],\"anonymous\":false," +
                "\"sticky\":false,\"resumable\":false}", Fleet.service(documents, 370, 0, 0));
            fleet.startGateways();
            record.say("ready; trouble=" + trouble);
            long endMs = record.ms() + BURST_MS;
            List<Thread> requesters = new ArrayList<>();
            for (Gateway gateway : fleet.gateways) {
                for (int i = 0; i < REQUESTERS_PER_GATEWAY; i++) {
                    requesters.add(Http.daemon("requester", () -> request(gateway, trouble, endMs, record, results, run)));
                }
            }
            for (Thread requester : requesters) requester.join(Math.max(1, endMs + 16_000 - record.ms()));
            Thread.sleep(10_000);
            for (Gateway gateway : fleet.gateways) {
                String answer = shortRequest(gateway);
                boolean ready = gateway.alive() && gateway.ready();
                record.say(gateway.name + ", 10 s after the burst: process runs=" + gateway.alive() + ", ready=" + ready +
                    ", a short request gets " + answer);
                if (!ready && !answer.startsWith("2")) hung++;
            }
        }
        int lost = results.getOrDefault("run at a worker, channel closed without an answer", new AtomicInteger()).get();
        System.out.println(results + ", gateways that hang: " + hung);
        return lost > ALLOWED || hung > 0 ? 1 : 0;
    }

    private static void request(Gateway gateway, boolean trouble, long endMs, Record record, Map<String, AtomicInteger> results, Set<String> run) {
        while (record.ms() < endMs && gateway.alive()) {
            String id = Case.newId();
            record.line("sent request=" + id + " to " + gateway.name);
            try {
                Process requester = new ProcessBuilder("perl", "review/stand-ins-2/slow-requester.pl", gateway.ip, "" + gateway.frontend,
                    id, "" + (trouble ? LINK_BYTES_PER_S : 0)).redirectError(ProcessBuilder.Redirect.INHERIT).start();
                if (!requester.waitFor(16, TimeUnit.SECONDS)) requester.destroyForcibly();
                String text = new String(requester.getInputStream().readAllBytes()).trim();
                record.line("answered request=" + id + " " + text);
                String[] words = text.split(" ");
                String what = words.length < 4 ? "no answer in 16 s" :
                    words[0].equals("0") && words[3].equals("closed") && run.contains(id) ?
                        "run at a worker, channel closed without an answer" : "status " + words[0] + " " + words[3];
                results.computeIfAbsent(what, it -> new AtomicInteger()).incrementAndGet();
                Thread.sleep(300);
            } catch (IOException | InterruptedException e) {
                record.line("request=" + id + " " + e);
                return;
            }
        }
    }

    private static String shortRequest(Gateway gateway) {
        try (Socket socket = Fleet.connect(gateway, 5_000)) {
            socket.getOutputStream().write(Http.head("GET /doc/short HTTP/1.1", "Host", "a.example", "X-Attempt-Id", Case.newId(),
                "X-Deadline-Ms", "4000", "Authorization", "Bearer key1"));
            return String.valueOf(Http.readResponse(new BufferedInputStream(socket.getInputStream())).status);
        } catch (IOException e) {
            return e.toString();
        }
    }
}
