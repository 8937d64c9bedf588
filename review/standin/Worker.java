import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One life of a worker as PROTOCOL.md describes it. The spec of a task tells what its run does, in milliseconds,
 * millicores and MB: "work=1000 cpu=960 mem=1900"; work=0 is a task that lasts. The worker rejects what does not fit,
 * and lists at most 500 ends at a time.
 */
final class Worker {
    static final int ENDS_PER_LIST = 500;
    private static final long HOLD_MAX_MILLIS = 6_000;
    private static final long STOP_MILLIS = 200;
    private static final long FAILURE_MILLIS = 100;
    private static final long STARTUP_MILLIS = 300;
    private static final long HEARTBEAT_MILLIS = 1_500;

    final class Run {
        final String task;
        final long run;
        final long work;
        final long cpu;
        final long mem;
        final long startedAt;
        long stopsAt = Long.MAX_VALUE;
        long failsAt = Long.MAX_VALUE;

        Run(String task, long run, String spec, long now) {
            this.task = task;
            this.run = run;
            this.work = field(spec, "work");
            this.cpu = field(spec, "cpu");
            this.mem = field(spec, "mem");
            this.startedAt = now;
        }
    }

    record End(long number, String task, long run, String how, long at) {}

    final String id;
    final int port;
    private final com.sun.net.httpserver.HttpServer server;
    private volatile boolean hasCrashed = false;
    /** While true, the worker is unhealthy: it answers starts with 503 and does nothing. Its health check is good. */
    volatile boolean isBusy = false;
    /** While true, all that the worker starts ends as failed. Its health check is good. */
    volatile boolean isFailing = false;
    private final String service;
    private final long cpu;
    private final long mem;
    private final Record record;
    private final Ledger ledger;
    private final long startedAt = System.nanoTime();
    private final long born = System.currentTimeMillis();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<End> ended = new ArrayList<>();
    private final Map<String, Long> highestRun = new HashMap<>();
    private long leaseUntil = 0;
    private long lapsedAt = -1;
    private long token = 0;
    private long lastEnd = 0;
    private long seq = 0;

    Worker(String id, String service, long cpu, long mem, Ledger ledger, Record record) throws Exception {
        this(id, 0, service, cpu, mem, ledger, record);
    }

    /** A life of the worker [id] that listens at [listenPort], or at a free port if it is 0. */
    Worker(String id, int listenPort, String service, long cpu, long mem, Ledger ledger, Record record)
        throws Exception {
        this.id = id;
        this.service = service;
        this.cpu = cpu;
        this.mem = mem;
        this.ledger = ledger;
        this.record = record;
        server = Http.serve(listenPort, this::handle);
        port = server.getAddress().getPort();
        Thread t = new Thread(this::advanceForever);
        t.setDaemon(true);
        t.start();
    }

    /** Sends heartbeats to the agent at [control], naming [address] as the address of this worker. */
    void sendHeartbeats(String control, String address, String rack) {
        sendHeartbeats(control, address, rack, 0);
    }

    /** Sends heartbeats, the first one after [delay] milliseconds. */
    void sendHeartbeats(String control, String address, String rack, long delay) {
        Thread t = new Thread(() -> {
            try {
                Thread.sleep(delay);
            } catch (InterruptedException e) {
                return;
            }
            HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            String last = "";
            while (!hasCrashed) {
                String body = Json.write(Json.of(
                    "service", service, "address", address, "zone", "zone-1", "version", "v1", "slots", 8,
                    "state", "ready", "cold-remaining-ms", 0,
                    "capacity", Json.of("cpu", cpu, "mem-mb", mem, "gpu", 0),
                    "labels", List.of("a", rack), "clock-ms", clock(), "born", born, "seq", ++seq));
                String answer;
                try {
                    URI uri = URI.create("http://" + control + "/v1/instances/" + id);
                    HttpRequest request = HttpRequest.newBuilder(uri)
                        .timeout(Duration.ofSeconds(1)).header("Content-Type", "application/json")
                        .PUT(HttpRequest.BodyPublishers.ofString(body)).build();
                    answer = "status " + client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
                } catch (Exception e) {
                    answer = e.toString();
                }
                if (!answer.equals(last)) record.line("heartbeat of " + id + ": " + answer);
                last = answer;
                try {
                    Thread.sleep(answer.startsWith("status") ? HEARTBEAT_MILLIS : 200);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** Ends this life: its runs are gone, nothing listens at its port, and it sends no more heartbeats. */
    void crash() {
        synchronized (this) {
            hasCrashed = true;
            for (Run r : new ArrayList<>(running.values())) ledger.ended(id, r.task, r.run, "crashed");
            running.clear();
            ended.clear();
            notifyAll();
        }
        server.stop(0);
        record.line("worker " + id + " crashes");
    }

    private long clock() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    static long field(String spec, String name) {
        for (String part : spec.split(" ")) {
            if (part.startsWith(name + "=")) return Long.parseLong(part.substring(name.length() + 1));
        }
        return 0;
    }

    private Http.Response handle(Http.Request r) throws Exception {
        if (r.expectedInstance() != null && !r.expectedInstance().equals(id)) return Http.Response.json(421, Json.of());
        if (r.method().equals("GET")) return Http.Response.json(200, Json.of());
        Map<String, Object> body = Json.object(r.body());
        synchronized (this) {
            if (hasCrashed) return new Http.Response(0, null);
            advance();
            long received = Json.number(body, "fencing-token", 0);
            if (received < token) return refuse("fence");
            token = received;
            switch (r.path()) {
                case "/v1/run-start":
                    return isBusy ? Http.Response.json(503, Json.of()) : start(body);
                case "/v1/run-stop":
                    return stop(body);
                case "/v1/pace":
                    return ok();
                case "/v1/hold":
                    return hold(body);
                default:
                    return Http.Response.json(404, Json.of());
            }
        }
    }

    private Http.Response ok() {
        return Http.Response.json(200, Json.of("clock-ms", clock()));
    }

    private Http.Response refuse(String reason) {
        return Http.Response.json(409, Json.of("clock-ms", clock(), "reason", reason));
    }

    private void extendLease(Map<String, Object> body) {
        long until = Math.min(Json.number(body, "until-ms", 0), clock() + HOLD_MAX_MILLIS);
        leaseUntil = Math.max(leaseUntil, until);
    }

    private Http.Response start(Map<String, Object> body) {
        String task = Json.text(body, "task");
        long run = Json.number(body, "run", 0);
        extendLease(body);
        Run present = running.get(task);
        if (present != null && present.run == run) return ok();
        if (present != null || run <= highestRun.getOrDefault(task, 0L)) return refuse("old");
        if (leaseUntil <= clock()) return refuse("late");
        Run next = new Run(task, run, Json.text(body, "spec"), clock());
        long usedCpu = running.values().stream().mapToLong(x -> x.cpu).sum();
        long usedMem = running.values().stream().mapToLong(x -> x.mem).sum();
        if (usedCpu + next.cpu > cpu || usedMem + next.mem > mem) return refuse("room");
        if (isFailing) next.failsAt = clock() + FAILURE_MILLIS;
        highestRun.put(task, run);
        running.put(task, next);
        ledger.started(id, task, run);
        return ok();
    }

    private Http.Response stop(Map<String, Object> body) {
        String task = Json.text(body, "task");
        long run = Json.number(body, "run", 0);
        highestRun.merge(task, run, Math::max);
        Run r = running.get(task);
        if (r != null && r.run == run && r.stopsAt == Long.MAX_VALUE) r.stopsAt = clock() + STOP_MILLIS;
        return ok();
    }

    private Http.Response hold(Map<String, Object> body) throws InterruptedException {
        extendLease(body);
        long seen = Json.number(body, "last-seen", 0);
        for (End e : ended) {
            if (e.number <= seen) ledger.noted(id, e, lapsedAt >= e.at);
        }
        ended.removeIf(e -> e.number <= seen);
        long until = clock() + Math.min(Json.number(body, "wait-ms", 0), 2_000);
        while (ended.isEmpty() && !hasCrashed && clock() < until) wait(Math.max(1, until - clock()));
        if (hasCrashed) return new Http.Response(0, null);
        advance();
        List<Object> rows = new ArrayList<>();
        for (Run r : running.values()) {
            long age = clock() - r.startedAt;
            long percent = r.work == 0 ? (age > STARTUP_MILLIS ? 100 : 0) : Math.min(99, age * 100 / r.work);
            rows.add(List.of(r.task, r.run, "", percent, r.cpu));
        }
        List<Object> ends = new ArrayList<>();
        for (End e : ended.subList(0, Math.min(ENDS_PER_LIST, ended.size()))) {
            ends.add(List.of(e.number, e.task, e.run, e.how, ""));
        }
        return Http.Response.json(200, Json.of("clock-ms", clock(), "running", rows, "ended", ends, "born", born));
    }

    private void advanceForever() {
        try {
            while (true) {
                Thread.sleep(10);
                synchronized (this) {
                    advance();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the runs that are complete or stopped, and all of them when the lease has expired. */
    private void advance() {
        long now = clock();
        for (Run r : new ArrayList<>(running.values())) {
            if (now >= r.failsAt) end(r, "failed");
            else if (r.work > 0 && now - r.startedAt >= r.work) end(r, "done");
            else if (now >= r.stopsAt) end(r, "stopped");
        }
        if (leaseUntil > 0 && now >= leaseUntil && lapsedAt < leaseUntil) {
            lapsedAt = now;
            if (!running.isEmpty()) record.line("lease of " + id + " lapses with " + running.size() + " runs");
            for (Run r : new ArrayList<>(running.values())) end(r, "lapsed");
        }
    }

    private void end(Run r, String how) {
        running.remove(r.task);
        ended.add(new End(++lastEnd, r.task, r.run, how, clock()));
        ledger.ended(id, r.task, r.run, how);
        notifyAll();
    }
}
