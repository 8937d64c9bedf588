import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The scheduler's programs as processes on loopback, with the commands of the deploy file, and the stand-ins. */
final class Deployment implements AutoCloseable {
    static final String CLASS = "/jobs/";

    final Trace trace;
    final Store store = new Store();
    final List<Worker> workers = new ArrayList<>();
    final List<Integer> entryPorts = new ArrayList<>();
    final List<Process> entries = new ArrayList<>();
    final List<Process> agents = new ArrayList<>();
    private final Path dir;
    private final Path root = Path.of("").toAbsolutePath();

    Deployment(Trace trace, int entryCount, int agentCount) throws IOException {
        this.trace = trace;
        dir = Files.createTempDirectory("review-3-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int i = 0; i < agentCount; i++) {
            int heartbeats = Http.freePort();
            String settings = Json.write(Json.of("instance", "side-" + i, "heartbeats", local(heartbeats),
                "peers", local(Http.freePort()), "metrics", local(Http.freePort()),
                "store", local(store.open("side-" + i)), "maxLeaseMillis", 6_000, "crossRackFactor", 1.5,
                "stopTimeoutMillis", 900, "restoreMillis", 600, "jobStatusSeconds", 120, "shards", 1));
            agents.add(launch("agent", "side-" + i, settings));
            workers.add(new Worker("worker-" + i, heartbeats, trace));
        }
        for (int i = 0; i < entryCount; i++) {
            int port = Http.freePort();
            String settings = Json.write(Json.of("instance", "edge-" + i, "callers", local(port),
                "readiness", local(Http.freePort()), "metrics", local(Http.freePort()),
                "store", local(store.open("edge-" + i)), "configApplyMillis", 2_000, "configStretchMillis", 5_000,
                "shards", 1));
            entryPorts.add(port);
            entries.add(launch("entry", "edge-" + i, settings));
        }
    }

    /** Writes a configuration as the operator, with a route for each of [prefixes]. */
    void configure(long version, String... prefixes) {
        List<Object> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add(Json.of("name", "route" + prefix.replace('/', '-'), "host", "127.0.0.1", "prefix", prefix,
                "type", "non_idempotent", "timeout-ms", 3_000, "service", "service-1", "priority", 0,
                "max-attempts", 2, "stretch", 1.5, "slo-ms", 250));
        }
        store.put("op/config", Json.write(Json.of("version", version, "routes", routes,
            "services", List.of(Json.of("name", "service-1", "health-path", "/health", "admission-check", true)),
            "limits", Json.of("max-body-bytes", 262_144))));
        trace.write("operator: configuration " + version + " acknowledged, routes " + Arrays.toString(prefixes));
    }

    /** Sends a client's call; null without a response. */
    Http.Reply call(int entry, String method, String path, String body) {
        return Http.send(method, "http://127.0.0.1:" + entryPorts.get(entry) + path, body, 3_000);
    }

    /** Waits until a job runs through every entry. Returns false after 30 s. */
    boolean awaitReady() {
        for (int e = 0; e < entries.size(); e++) {
            String path = CLASS + String.format("%016x", 0xffff0000L + e);
            String body = job(1, 1, "50");
            long until = trace.now() + 30_000;
            boolean isDone = false;
            while (!isDone && trace.now() < until) {
                call(e, "POST", path, body);
                Store.sleep(200);
                Http.Reply r = call(e, "GET", path, null);
                isDone = r != null && r.body().contains("completed");
            }
            if (!isDone) return false;
        }
        return true;
    }

    /** A job of [steps] steps in a chain, each of [count] tasks. */
    static String job(int steps, int count, String spec) {
        List<Object> rows = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            var step = Json.of("count", count, "cpu", 500, "mem-mb", 256, "estimate-ms", Math.max(50, Long.parseLong(spec.split(" ")[0])));
            if (i > 0) step.put("after", List.of(i - 1));
            rows.add(step);
        }
        return Json.write(Json.of("spec", spec, "steps", rows));
    }

    /** All runs of tasks of [job] on all workers. */
    List<Worker.Run> runsOf(String job) {
        List<Worker.Run> runs = new ArrayList<>();
        for (Worker w : workers) for (Worker.Run r : w.runs()) if (r.task.startsWith(job + ".")) runs.add(r);
        return runs;
    }

    private Process launch(String role, String name, String settings) throws IOException {
        Path file = dir.resolve(name + ".json");
        Files.writeString(file, settings);
        String run = null;
        boolean isRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) isRole = line.equals("[roles." + role + "]");
            if (isRole && line.startsWith("run = ")) run = line.substring(7, line.length() - 1);
        }
        ProcessBuilder b = new ProcessBuilder(Arrays.asList(run.split(" "))).directory(root.toFile());
        b.environment().put("CAMPHORHALL_NODE_FILE", file.toString());
        return b.redirectErrorStream(true).redirectOutput(dir.resolve(name + ".log").toFile()).start();
    }

    private static String local(int port) {
        return "127.0.0.1:" + port;
    }

    @Override
    public synchronized void close() {
        List<Process> all = new ArrayList<>(entries);
        all.addAll(agents);
        all.forEach(Process::destroyForcibly);
        for (Process p : all) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + dir);
            return;
        }
        File[] files = dir.toFile().listFiles();
        if (files != null) for (File f : files) f.delete();
        dir.toFile().delete();
    }
}
