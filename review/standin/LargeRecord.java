import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One job of very many small tasks is accepted. A small job handed in after it must run, and the store holds values of
 * value-bytes at most.
 */
final class LargeRecord {
    private static final int STEPS = 12;
    private static final int TASKS = 5_000;
    /** The rule LOST: finish_s after the end of the traffic, then 3 s without a run though there is capacity. */
    private static final long FINISH = 14_000;
    private static final long WITHOUT_RUN = 3_000;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Ledger ledger = new Ledger(record);
        Store store = new Store(record);
        Deployment d = new Deployment(record);
        store.put("op/config", Deployment.config(1));
        for (int i = 0; i < 2; i++) {
            Deployment.Node agent = d.start("agent", "side-" + i, store.address());
            Worker w = new Worker("i-" + i, "desk", 64_000, 256_000, ledger, record);
            w.sendHeartbeats(agent.values.get("listen-addrs.control"), "127.0.0.1:" + w.port, "r1-" + i);
        }
        Deployment.Node entry = d.start("entry", "edge-0", store.address());
        d.awaitReady(entry);
        Thread.sleep(4_000);

        if (hasTrouble) {
            List<Object> steps = new ArrayList<>();
            for (int i = 0; i < STEPS; i++) {
                steps.add(Json.of("count", TASKS, "cpu", 1, "mem-mb", 1, "estimate-ms", 1_000));
            }
            String large = Json.write(Json.of("spec", "work=1000 cpu=1 mem=1", "steps", steps));
            d.submit(entry, "000000000000f001", large);
        }
        Thread.sleep(2_000);
        String small = "000000000000f002";
        boolean isAccepted = d.submit(entry, small, Deployment.job(6, 1_000, 960, 1_900, false));
        long at = record.millis();
        Thread.sleep(FINISH + WITHOUT_RUN + 15_000);
        d.call(entry, "GET", Deployment.PREFIX + small, null);
        long started = count(ledger, small);
        record.line((record.millis() - at) + " ms after the small job was accepted: " + started
            + " of 6 of its tasks have started, " + count(ledger, "000000000000f001") + " of " + STEPS * TASKS
            + " of the large job");
        System.exit(isAccepted ? started == 0 ? 1 : 0 : 2);
    }

    private static long count(Ledger ledger, String job) {
        return ledger.all().keySet().stream().filter(t -> t.startsWith(job)).count();
    }
}
