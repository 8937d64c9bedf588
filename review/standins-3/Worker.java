import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for a worker of the platform. A task runs for as many milliseconds as its spec says; -1 until it is stopped.
 * A spec with a second word, `saves`, checkpoints its progress after each 0.5 s of work.
 */
final class Worker {
    /** A run and what the worker has seen of it; times are those of the trace. */
    static final class Run {
        final String task;
        final long number;
        final String spec;
        final long startedAt;
        volatile Long endedAt;
        volatile String end;

        long millis() {
            return Long.parseLong(spec.split(" ")[0]);
        }

        /** The newest checkpoint of a run that has worked for [age] milliseconds; empty if there is none. */
        String checkpoint(long age) {
            if (!spec.endsWith(" saves") || age < CHECKPOINT) return "";
            return String.format("%08x%08x", age / CHECKPOINT, task.hashCode());
        }

        Run(String task, long number, String spec, long startedAt) {
            this.task = task;
            this.number = number;
            this.spec = spec;
            this.startedAt = startedAt;
        }
    }

    private record End(long number, Run run) {
    }

    private static final long CHECKPOINT = 500;
    private static final long MAX_LEASE = 6_000;
    private static final long CPU = 64_000;

    final String id;
    private final Trace trace;

    /** Whether each start and end is written to the trace. */
    volatile boolean isTraced = true;
    private final int agentPort;
    private final HttpServer server;
    private final long born = System.currentTimeMillis();
    private final long clockStart = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<End> ended = new ArrayList<>();
    private final List<Run> all = new ArrayList<>();
    private long lastEnd;
    private long token;
    private long until;

    Worker(String id, int agentPort, Trace trace) throws IOException {
        this.id = id;
        this.agentPort = agentPort;
        this.trace = trace;
        server = Http.serve(0, this::handle);
        daemon(this::beat);
        daemon(() -> {
            while (true) {
                synchronized (this) {
                    finish();
                }
                Store.sleep(10);
            }
        });
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(all);
    }

    private void beat() {
        long seq = 0;
        while (true) {
            Map<String, Object> body = Json.of("service", "service-1", "address", address(), "zone", "zone-1",
                "version", "v1", "slots", 8, "state", "ready", "cold-remaining-ms", 0,
                "capacity", Json.of("cpu", CPU, "mem-mb", 256_000, "gpu", 0), "labels", List.of("a", "r1-1"),
                "clock-ms", clock(), "born", born, "seq", ++seq);
            Http.Reply r = Http.send("PUT", "http://127.0.0.1:" + agentPort + "/v1/instances/" + id, Json.write(body), 1_000);
            Store.sleep(r == null ? 200 : 1_500);
        }
    }

    private String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private long clock() {
        return (System.nanoTime() - clockStart) / 1_000_000 + 1_000;
    }

    private Http.Reply handle(Http.Call c) throws InterruptedException {
        if (c.method().equals("GET")) return Http.Reply.of(200);
        if (!id.equals(c.headers().get("x-expected-instance"))) return Http.Reply.of(421);
        Map<String, Object> body = Json.object(c.body());
        synchronized (this) {
            long received = Json.number(body, "fencing-token", 0);
            if (received < token) return reply(409, "fence");
            token = received;
            finish();
            if (body.containsKey("until-ms")) {
                until = Math.max(until, Math.min(Json.number(body, "until-ms", 0), clock() + MAX_LEASE));
            }
            switch (c.path()) {
                case "/v1/run-start":
                    return start(body);
                case "/v1/run-stop":
                    stop(Json.string(body, "task"), Json.number(body, "run", 0));
                    return reply(200, null);
                case "/v1/pace":
                    return reply(200, null);
                case "/v1/hold":
                    return hold(body);
                default:
                    return Http.Reply.of(400);
            }
        }
    }

    private Http.Reply start(Map<String, Object> body) {
        String task = Json.string(body, "task");
        long run = Json.number(body, "run", 0);
        Run present = running.get(task);
        if (present != null && present.number == run) return reply(200, null);
        if (run <= highest.getOrDefault(task, 0L)) return reply(409, "old");
        if (until <= clock()) return reply(409, "late");
        highest.put(task, run);
        Run r = new Run(task, run, Json.string(body, "spec"), trace.now());
        running.put(task, r);
        all.add(r);
        if (isTraced) trace.write(id + " starts " + task + " run " + run);
        return reply(200, null);
    }

    private void stop(String task, long run) {
        highest.merge(task, run, Math::max);
        Run r = running.get(task);
        if (r != null && r.number == run) end(r, "stopped");
    }

    private Http.Reply hold(Map<String, Object> body) throws InterruptedException {
        long seen = Json.number(body, "last-seen", 0);
        ended.removeIf(e -> e.number() <= seen);
        long waitUntil = System.nanoTime() + Json.number(body, "wait-ms", 0) * 1_000_000;
        while (ended.isEmpty()) {
            long left = (waitUntil - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            wait(left);
        }
        List<Object> runningRows = new ArrayList<>();
        for (Run r : running.values()) runningRows.add(List.of(r.task, r.number, r.checkpoint(trace.now() - r.startedAt), percent(r), 0));
        List<Object> endedRows = new ArrayList<>();
        for (End e : ended.subList(0, Math.min(500, ended.size()))) {
            endedRows.add(List.of(e.number(), e.run().task, e.run().number, e.run().end,
                e.run().checkpoint(e.run().endedAt - e.run().startedAt)));
        }
        return Http.Reply.ok(Json.of("clock-ms", clock(), "born", born, "running", runningRows, "ended", endedRows));
    }

    private long percent(Run r) {
        long millis = r.millis();
        return millis < 0 ? 100 : Math.min(99, (trace.now() - r.startedAt) * 100 / Math.max(1, millis));
    }

    private void finish() {
        for (Run r : new ArrayList<>(running.values())) {
            long millis = r.millis();
            if (clock() >= until) end(r, "lapsed");
            else if (millis >= 0 && trace.now() - r.startedAt >= millis) end(r, "done");
        }
    }

    private void end(Run r, String how) {
        running.remove(r.task);
        r.end = how;
        r.endedAt = trace.now();
        ended.add(new End(++lastEnd, r));
        if (isTraced) trace.write(id + " ends " + r.task + " run " + r.number + ": " + how);
        notifyAll();
    }

    private Http.Reply reply(int status, String reason) {
        Map<String, Object> body = Json.of("clock-ms", clock());
        if (reason != null) body.put("reason", reason);
        return new Http.Reply(status, Json.write(body));
    }

    static void daemon(Runnable action) {
        Thread t = new Thread(action);
        t.setDaemon(true);
        t.start();
    }
}
