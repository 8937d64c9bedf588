import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Two workers run some hundred small tasks each. While the tasks end, the store is down for 4.5 s, so that more than
 * 500 ends wait on each worker, which lists 500 at a time. No task may run again.
 */
final class ManyEnds {
    private static final int JOBS = 60;
    private static final int TASKS = 36;
    private static final long JOB_PERIOD = 65;
    private static final long WORK = 10_000;
    private static final long OUTAGE = 4_500;

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

        List<String> accepted = new ArrayList<>();
        long first = record.millis();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0xa000 + i);
            if (d.submit(entry, id, Deployment.job(TASKS, WORK, 40, 50, false))) accepted.add(id);
            Thread.sleep(JOB_PERIOD);
        }
        int due = accepted.size() * TASKS;
        while (started(ledger) < due && record.millis() < first + 30_000) Thread.sleep(20);
        record.line(started(ledger) + " of " + due + " tasks have started");
        while (ended(ledger) < 20 && record.millis() < first + 40_000) Thread.sleep(5);
        if (hasTrouble) {
            store.setDown(true);
            Thread.sleep(OUTAGE);
            store.setDown(false);
        }
        long until = record.millis() + 25_000;
        while (record.millis() < until) Thread.sleep(100);

        Set<String> twice = ledger.startedTwice();
        long done = ledger.all().values().stream().filter(l -> l.stream().anyMatch(s -> s.how.equals("done"))).count();
        record.line("accepted " + accepted.size() + " jobs with " + due + " tasks; started " + started(ledger)
            + ", done " + done);
        twice.stream().sorted().limit(10).forEach(t -> record.line("TWICE " + t + ": " + ledger.all().get(t)));
        record.line("tasks that ran again after an end that was taken note of, or twice at one time: " + twice.size());
        boolean isSound = accepted.size() == JOBS && started(ledger) == due;
        System.exit(!twice.isEmpty() ? 1 : isSound ? 0 : 2);
    }

    private static long started(Ledger ledger) {
        return ledger.all().size();
    }

    private static long ended(Ledger ledger) {
        return ledger.all().values().stream().filter(l -> !l.get(0).how.isEmpty()).count();
    }
}
