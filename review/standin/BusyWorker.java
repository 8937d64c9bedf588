import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * All 11 workers are full of tasks that last, and jobs wait. One of the workers turns unhealthy for 6.5 s: it answers
 * every start with 503. Its lasting job is cancelled meanwhile. The waiting jobs cannot begin there, and the count of
 * the queue's pending jobs has to go on showing them.
 */
final class BusyWorker {
    private static final int WORKERS = 11;
    private static final int JOBS = 20;
    private static final int TASKS = 2;
    private static final long BUSY = 6_500;
    /** The rule MIXED counts jobs that were accepted over visible_ms + 2 s before. */
    private static final long VISIBLE = 5_000;

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
        boolean isFull = true;
        for (int i = 0; i < WORKERS; i++) {
            String lasting = Deployment.job(4, 0, 15_800, 20_000, true, "r1-" + i);
            isFull &= d.submit(entry, String.format("%016x", 0x7000 + i), lasting);
        }
        Thread.sleep(2_000);
        isFull &= ledger.all().size() == 4 * WORKERS;
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0x7100 + i);
            if (d.submit(entry, id, Deployment.job(TASKS, 500, 960, 1_900, false))) accepted.add(id);
        }
        Thread.sleep(VISIBLE + 500);
        d.call(entry, "GET", Deployment.PREFIX, null);

        long at = record.millis();
        if (hasTrouble) {
            workers[0].isBusy = true;
            record.line("worker i-0 answers starts with 503 from now on");
        }
        d.call(entry, "DELETE", Deployment.PREFIX + "0000000000007000", null);
        int broken = 0;
        while (record.millis() < at + BUSY) {
            Thread.sleep(1_000);
            List<String> before = waiting(ledger, accepted);
            String body = d.call(entry, "GET", Deployment.PREFIX, null).body();
            long shown = Json.number(Json.object(body), "pending", -1);
            // A job that begins during the request does not count. The count may be 2 s old; it was right before.
            List<String> after = waiting(ledger, accepted);
            after.retainAll(before);
            boolean isBroken = shown >= 0 && shown * 2 < after.size() && record.millis() > at + 2_000;
            if (isBroken) broken++;
            record.line("accepted over 5 s before and not begun: " + after.size() + " jobs; given as pending: " + shown
                + (isBroken ? "  MIXED" : ""));
        }
        workers[0].isBusy = false;
        record.line("worker i-0 takes starts again");
        Thread.sleep(14_000);
        long done = ledger.all().entrySet().stream()
            .filter(e -> accepted.contains(e.getKey().substring(0, 16)))
            .filter(e -> e.getValue().stream().anyMatch(s -> s.how.equals("done"))).count();
        record.line("done at the end: " + done + " of " + accepted.size() * TASKS
            + " tasks; counts that break the rule: " + broken);
        System.exit(broken > 0 ? 1 : isFull && accepted.size() == JOBS ? 0 : 2);
    }

    private static List<String> waiting(Ledger ledger, List<String> jobs) {
        List<String> found = new ArrayList<>(jobs);
        for (String task : ledger.all().keySet()) found.remove(task.substring(0, 16));
        return found;
    }
}
