import java.nio.file.Path;
import java.util.Set;

/**
 * One of 11 workers crashes and starts again under the id and the address that it had. Its heartbeats come every 1.5 s,
 * the first one 1.5 s after it listens. Short jobs come all the while. No task may run again after it has ended done.
 */
final class RestartedWorker {
    private static final int WORKERS = 11;
    private static final long DOWN = 3_400;
    private static final long FIRST_HEARTBEAT = 1_500;
    private static final long JOB_PERIOD = 200;
    private static final int TASKS = 24;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Ledger ledger = new Ledger(record);
        Store store = new Store(record);
        Deployment d = new Deployment(record);
        store.put("op/config", Deployment.config(1));
        Worker[] workers = new Worker[WORKERS];
        String[] control = new String[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            Deployment.Node agent = d.start("agent", "side-" + i, store.address());
            control[i] = agent.values.get("listen-addrs.control");
            workers[i] = new Worker("i-" + i, "desk", 64_000, 256_000, ledger, record);
            workers[i].sendHeartbeats(control[i], "127.0.0.1:" + workers[i].port, "r1-" + i);
        }
        Deployment.Node entry = d.start("entry", "edge-0", store.address());
        d.awaitReady(entry);
        Thread.sleep(4_000);

        long first = record.millis();
        int accepted = 0;
        boolean isDown = false;
        boolean isBack = false;
        for (int i = 0; record.millis() < first + 20_000; i++) {
            String id = String.format("%016x", 0x9000 + i);
            if (d.submit(entry, id, Deployment.job(TASKS, 300, 960, 1_900, false))) accepted++;
            Thread.sleep(JOB_PERIOD);
            if (hasTrouble && !isDown && record.millis() > first + 4_000) {
                workers[0].crash();
                isDown = true;
            }
            if (isDown && !isBack && record.millis() > first + 4_000 + DOWN) {
                Worker next = new Worker("i-0", workers[0].port, "desk", 64_000, 256_000, ledger, record);
                record.line("worker i-0 starts again");
                next.sendHeartbeats(control[0], "127.0.0.1:" + next.port, "r1-0", FIRST_HEARTBEAT);
                isBack = true;
            }
        }
        Thread.sleep(10_000);
        Set<String> twice = ledger.startedTwice();
        long done = ledger.all().values().stream().filter(l -> l.stream().anyMatch(s -> s.how.equals("done"))).count();
        record.line("accepted " + accepted + " jobs of " + TASKS + " tasks; done " + done);
        twice.stream().sorted().limit(10).forEach(t -> record.line("TWICE " + t + ": " + ledger.all().get(t)));
        record.line("tasks that ran again after an end that was taken note of, or twice at one time: " + twice.size());
        System.exit(!twice.isEmpty() ? 1 : accepted > 0 && done == accepted * (long) TASKS ? 0 : 2);
    }
}
