import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Ten of 11 workers are full of tasks that last. The other one runs a long batch job, and for one second fails all that
 * it starts. A job of tasks that last is handed in after contact-ms; that worker has room for it many times over.
 */
final class FailingWorker {
    private static final int WORKERS = 11;
    private static final long FAILING = 1_000;
    private static final long CONTACT = 3_000;
    private static final long CALM_BEFORE = 4_000;
    private static final long WITHOUT_RUN = 3_000;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Ledger ledger = new Ledger(record);
        Store store = new Store(record);
        Deployment d = new Deployment(record);
        store.put("op/config", Deployment.config(1));
        Worker[] workers = new Worker[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            Deployment.Node agent = d.start("agent", "side-" + i, store.address());
            workers[i] = new Worker("i-" + i, "desk", 64_000, 256_000, ledger, record);
            String control = agent.values.get("listen-addrs.control");
            workers[i].sendHeartbeats(control, "127.0.0.1:" + workers[i].port, "r1-" + i);
        }
        Deployment.Node entry = d.start("entry", "edge-0", store.address());
        d.awaitReady(entry);
        Thread.sleep(4_000);
        boolean isAccepted = true;
        for (int i = 1; i < WORKERS; i++) {
            String full = Deployment.job(4, 0, 15_800, 20_000, true, "r1-" + i);
            isAccepted &= d.submit(entry, String.format("%016x", 0x6200 + i), full);
        }
        isAccepted &= d.submit(entry, "0000000000006002", Deployment.job(4, 20_000, 5_000, 9_000, false));
        Thread.sleep(2_000);
        boolean isFull = ledger.all().size() == 4 * WORKERS;

        long from = record.millis();
        if (hasTrouble) {
            workers[0].isFailing = true;
            record.line("worker i-0 fails all that it starts from now on");
        }
        for (int i = 0; i < 6; i++) {
            String id = String.format("%016x", 0x6100 + i);
            isAccepted &= d.submit(entry, id, Deployment.job(2, 500, 960, 1_900, false));
        }
        Thread.sleep(Math.max(0, from + FAILING - record.millis()));
        workers[0].isFailing = false;
        long end = record.millis();
        record.line("worker i-0 is sound again");
        Thread.sleep(CONTACT + 200);
        String lasting = "0000000000006003";
        isAccepted &= d.submit(entry, lasting, Deployment.job(4, 0, 1_000, 2_000, true));
        long countsFrom = Math.max(record.millis(), end + CONTACT + CALM_BEFORE);
        while (record.millis() < countsFrom + 20_000 && runs(ledger, lasting).isEmpty()) Thread.sleep(50);
        long first = runs(ledger, lasting).stream().mapToLong(r -> r.at).min().orElse(record.millis());
        long without = Math.max(0, first - countsFrom);
        record.line("the job of tasks that last first had a task running at " + first + " ms; without one for "
            + without + " ms of the time that the rule counts, which begins at " + countsFrom + " ms");
        System.exit(without >= WITHOUT_RUN ? 1 : isAccepted && isFull ? 0 : 2);
    }

    private static List<Ledger.Start> runs(Ledger ledger, String job) {
        List<Ledger.Start> found = new ArrayList<>();
        ledger.all().forEach((task, runs) -> {
            if (task.startsWith(job)) found.addAll(runs);
        });
        return found;
    }
}
