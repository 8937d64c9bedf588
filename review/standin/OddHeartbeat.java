import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A worker runs tasks that last. One heartbeat of another writer, with a service that the configuration does not name,
 * reaches its agent. The worker lives on and keeps sending heartbeats. Its tasks must go on, or run again soon.
 */
final class OddHeartbeat {
    private static final int LASTING = 4;
    private static final long AFTER_LAST_RUN = 6_000;
    private static final long WITHOUT_RUN = 3_000;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Ledger ledger = new Ledger(record);
        Store store = new Store(record);
        Deployment d = new Deployment(record);
        store.put("op/config", Deployment.config(1));
        String control = "";
        for (int i = 0; i < 2; i++) {
            Deployment.Node agent = d.start("agent", "side-" + i, store.address());
            Worker w = new Worker("i-" + i, "desk", 64_000, 256_000, ledger, record);
            w.sendHeartbeats(agent.values.get("listen-addrs.control"), "127.0.0.1:" + w.port, "r1-" + i);
            if (i == 0) control = agent.values.get("listen-addrs.control");
        }
        Deployment.Node entry = d.start("entry", "edge-0", store.address());
        d.awaitReady(entry);
        Thread.sleep(4_000);

        String lasting = "000000000000d001";
        boolean isAccepted = d.submit(entry, lasting, Deployment.job(LASTING, 0, 4_000, 8_000, true, "r1-0"));
        Thread.sleep(3_000);
        long running = runs(ledger, lasting).size();
        if (hasTrouble) sendOdd(control, record);
        Thread.sleep(25_000);
        long end = record.millis();

        long broken = 0;
        for (Map.Entry<String, List<Ledger.Start>> e : ledger.all().entrySet()) {
            long longest = 0;
            for (int i = 0; i < e.getValue().size(); i++) {
                Ledger.Start run = e.getValue().get(i);
                if (run.endedAt == Long.MAX_VALUE) continue;
                long next = i + 1 < e.getValue().size() ? e.getValue().get(i + 1).at : end;
                longest = Math.max(longest, next - run.endedAt - AFTER_LAST_RUN);
            }
            record.line(e.getKey() + ": " + e.getValue() + "; without a run, from 6 s after the last one: " + longest
                + " ms");
            if (longest >= WITHOUT_RUN) broken++;
        }
        record.line(broken + " of " + LASTING + " tasks that last break the rule");
        System.exit(broken > 0 ? 1 : isAccepted && running == LASTING ? 0 : 2);
    }

    private static void sendOdd(String control, Record record) throws Exception {
        String body = Json.write(Json.of(
            "service", "press", "address", "127.0.0.1:" + Deployment.freePort(), "zone", "zone-1", "version", "v1",
            "slots", 8, "state", "ready", "cold-remaining-ms", 0,
            "capacity", Json.of("cpu", 16_000, "mem-mb", 32_768, "gpu", 0),
            "labels", List.of("a", "r1-0"), "clock-ms", 1_000, "born", System.currentTimeMillis(), "seq", 1));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + control + "/v1/instances/i-odd"))
            .header("Content-Type", "application/json").PUT(HttpRequest.BodyPublishers.ofString(body)).build();
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        int status = client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        record.line("one heartbeat of another writer, with a service that is not named, to the agent of i-0: status "
            + status);
    }

    private static List<Ledger.Start> runs(Ledger ledger, String job) {
        List<Ledger.Start> found = new ArrayList<>();
        ledger.all().forEach((task, runs) -> {
            if (task.startsWith(job)) found.addAll(runs);
        });
        return found;
    }
}
