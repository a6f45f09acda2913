import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** The platform's choice of a node for a new channel: asks for readiness once a second, and drops after two misses. */
final class Balancer {
    private static final int PERIOD_MS = 1_000;
    private final Lab lab;
    private final int[] misses;

    Balancer(Lab lab) {
        this.lab = lab;
        misses = new int[lab.gateways.size()];
        for (int i = 0; i < misses.length; i++) {
            int number = i;
            Http.daemon(() -> check(number));
        }
    }

    private void check(int number) {
        try {
            while (true) {
                long startMs = lab.nowMs();
                boolean ready = lab.gateways.get(number).isReady();
                synchronized (this) {
                    boolean before = misses[number] < 2;
                    misses[number] = ready ? 0 : misses[number] + 1;
                    boolean after = misses[number] < 2;
                    if (before != after) {
                        lab.record("platform %s %s", lab.gateways.get(number).name, after ? "in rotation" : "taken out");
                    }
                }
                Thread.sleep(Math.max(1, PERIOD_MS - (lab.nowMs() - startMs)));
            }
        } catch (InterruptedException e) {
            // the run ends
        }
    }

    /** A gateway in rotation, or any if fewer than half of them are. */
    synchronized Gateway choose() {
        List<Gateway> inRotation = new ArrayList<>();
        for (int i = 0; i < misses.length; i++) {
            if (misses[i] < 2) inRotation.add(lab.gateways.get(i));
        }
        List<Gateway> choice = inRotation.size() * 2 < misses.length ? lab.gateways : inRotation;
        return choice.get(ThreadLocalRandom.current().nextInt(choice.size()));
    }
}
