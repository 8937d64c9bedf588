import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A batch job has left some open connections between two agents and their workers. All of them go silent at once, while
 * new ones work. A job of tasks that last is handed in after contact-ms. Its tasks must run.
 */
final class SilentConnections {
    private static final int LASTING = 6;
    /** Time after the disruption from which its machines are in touch again: contact-ms. */
    private static final long CONTACT = 3_000;
    /** The rule LOST, for tasks that last: 3 s without a run, if these and the 4 s before them are calm. */
    private static final long CALM_BEFORE = 4_000;
    private static final long WITHOUT_RUN = 3_000;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Ledger ledger = new Ledger(record);
        Store store = new Store(record);
        Deployment d = new Deployment(record);
        store.put("op/config", Deployment.config(1));
        List<Proxy> links = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Deployment.Node agent = d.start("agent", "side-" + i, store.address());
            Worker w = new Worker("i-" + i, "desk", 64_000, 256_000, ledger, record);
            Proxy link = new Proxy(w.port);
            links.add(link);
            w.sendHeartbeats(agent.values.get("listen-addrs.control"), link.address(), "r1-" + i);
        }
        Deployment.Node entry = d.start("entry", "edge-0", store.address());
        d.awaitReady(entry);
        Thread.sleep(4_000);

        String batch = "000000000000b001";
        boolean isAccepted = d.submit(entry, batch, Deployment.job(24, 1_000, 960, 1_900, false));
        Thread.sleep(4_000);
        long batchRuns = runs(ledger, batch).size();
        long at = record.millis();
        if (hasTrouble) {
            int n = 0;
            for (Proxy p : links) n += p.silenceOpen();
            record.line("silent from now on: " + n + " open connections between agents and workers; new ones work");
        }
        Thread.sleep(CONTACT + 200);
        String lasting = "000000000000c001";
        isAccepted &= d.submit(entry, lasting, Deployment.job(LASTING, 0, 4_000, 8_000, true));
        long from = Math.max(record.millis(), at + CONTACT + CALM_BEFORE);
        while (record.millis() < from + 25_000 && runs(ledger, lasting).size() < LASTING) Thread.sleep(50);

        List<Ledger.Start> runs = runs(ledger, lasting);
        long first = runs.stream().mapToLong(r -> r.at).min().orElse(record.millis());
        long without = Math.max(0, first - from);
        String at0 = runs.isEmpty() ? "no time" : first + " ms";
        record.line("the job of tasks that last first had a task running at " + at0);
        record.line("it had nothing running for " + without + " ms of the time that the rule counts, which begins at "
            + from + " ms");
        boolean isBroken = without >= WITHOUT_RUN;
        System.exit(isBroken ? 1 : isAccepted && batchRuns == 24 && !runs.isEmpty() ? 0 : 2);
    }

    private static List<Ledger.Start> runs(Ledger ledger, String job) {
        List<Ledger.Start> found = new ArrayList<>();
        for (Map.Entry<String, List<Ledger.Start>> e : ledger.all().entrySet()) {
            if (e.getKey().startsWith(job)) found.addAll(e.getValue());
        }
        return found;
    }
}
