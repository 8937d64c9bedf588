import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker of the platform, one life at a time, as the page PROTOCOL describes it. It guards its capacity. The text of
 * a job tells it what a task does: words such as "ms=500", "cpu=1000", "mem=64", "gang=3", "fills",
 * "serves" and "lasts".
 */
final class Worker {
    private static final int ENDS_PER_LIST = 500;
    private static final long HOLD_MAX_MILLIS = 6_000;
    private static final long BEAT_MILLIS = 1_500;

    /** A run of a task; end and endedAt are set once it has ended. */
    static final class Run {
        final String task;
        final int number;
        final String spec;
        final long startedAt = Trace.millis();
        final long millis;
        final long cpu;
        final long memory;
        final boolean fills;
        final boolean lasts;

        /** Number of members of the gang; 0 for other tasks. */
        final long gang;

        /** Tail latency of a task that serves in milliseconds, otherwise the processors in use. */
        final long load;
        final boolean serves;
        volatile long endedAt = -1;
        volatile String end;

        Run(String task, int number, String spec) {
            this.task = task;
            this.number = number;
            this.spec = spec;
            List<String> words = List.of(spec.split(" "));
            millis = figure(words, "ms", 500);
            cpu = figure(words, "cpu", 0);
            memory = figure(words, "mem", 0);
            fills = words.contains("fills");
            lasts = words.contains("lasts");
            gang = figure(words, "gang", 0);
            serves = words.contains("serves");
            load = serves ? figure(words, "tail", 10) : cpu;
        }

        private static long figure(List<String> words, String name, long other) {
            for (String word : words) {
                if (word.startsWith(name + "=")) return Long.parseLong(word.substring(name.length() + 1));
            }
            return other;
        }
    }

    private record End(long number, Run run) {
    }

    final String name;
    final List<Run> history = new ArrayList<>();

    /** While set, the worker fails all that it runs, each run after that many milliseconds of work. */
    volatile long failsAfterMillis = -1;

    /** Load of the tasks that serve, in percent of the usual one; their tail latency is in proportion to it. */
    volatile long loadPercent = 100;

    private final Trace trace;
    private final Gangs gangs;
    private final String service;
    private final String agent;
    private final List<String> labels;
    private final long cpu;
    private final long memory;
    private final Front front = new Front();

    /** Time from the start of a life to its first heartbeat, in milliseconds; below the period of heartbeats. */
    volatile long firstBeatMillis;

    /** How far the time of day of the worker's machine is off, in milliseconds. */
    volatile long clockOffMillis;

    private HttpServer server;
    private String id;
    private long born;
    private long clockStart;
    private long seq;
    private long token;
    private long leaseUntil;
    private long lastEnd;
    private boolean isUp;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private long usedCpu;
    private long usedMemory;
    private final Map<String, Integer> highest = new HashMap<>();
    private final List<End> ended = new ArrayList<>();

    /** Heartbeats that were answered with 2xx, and the others. */
    volatile int acknowledged;
    volatile int refused;

    Worker(Trace trace, Gangs gangs, String name, String service, String agent, List<String> labels, long cpu, long memory)
        throws IOException {
        this.trace = trace;
        this.gangs = gangs;
        this.name = name;
        this.service = service;
        this.agent = agent;
        this.labels = labels;
        this.cpu = cpu;
        this.memory = memory;
        Thread clock = new Thread(this::work);
        clock.setDaemon(true);
        clock.start();
        Thread beats = new Thread(this::beat);
        beats.setDaemon(true);
        beats.start();
    }

    /** Starts a life of the worker under [id]. */
    synchronized void up(String id) throws IOException {
        this.id = id;
        born = System.currentTimeMillis() + clockOffMillis;
        clockStart = System.nanoTime();
        seq = 0;
        token = 0;
        leaseUntil = 0;
        lastEnd = 0;
        highest.clear();
        ended.clear();
        server = Web.serve(0, this::handle);
        front.lead(server.getAddress().getPort());
        isUp = true;
        trace.say(name + " is up as " + id + ", born " + born);
        notifyAll();
    }

    /** Ends the life of the worker, with all that it runs; if it [isDark], without a sign on its connections. */
    synchronized void crash(boolean isDark) {
        isUp = false;
        if (isDark) front.darken();
        server.stop(0);
        for (Run r : running.values()) close(r, "crashed");
        running.clear();
        usedCpu = 0;
        usedMemory = 0;
        trace.say(name + " has crashed" + (isDark ? ", dark" : ""));
        notifyAll();
    }

    synchronized boolean isUp() {
        return isUp;
    }

    String address() {
        return Web.HOST + ":" + front.port;
    }

    private long now() {
        return 1_000 + (System.nanoTime() - clockStart) / 1_000_000;
    }

    private void close(Run run, String how) {
        run.endedAt = Trace.millis();
        run.end = how;
        if (run.gang > 0) gangs.leave(run, how);
        trace.say(name + " ends " + run.task + " run " + run.number + ": " + how);
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        if (!run.fills) usedCpu -= run.cpu;
        usedMemory -= run.memory;
        close(run, how);
        ended.add(new End(++lastEnd, run));
        notifyAll();
    }

    private synchronized void settle() {
        if (!isUp) return;
        long at = Trace.millis();
        if (failsAfterMillis >= 0) {
            // What has failed by the worker's fault at this moment has failed together.
            List<Run> failed =
                running.values().stream().filter(r -> worked(r, at) >= failsAfterMillis).toList();
            for (Run r : failed) end(r, "failed");
        }
        for (Run r : List.copyOf(running.values())) {
            String how = r.gang > 0 ? gangs.endOf(r) : null;
            if (how != null) end(r, how); else if (!r.lasts && worked(r, at) >= r.millis) end(r, "done");
        }
        if (now() >= leaseUntil) for (Run r : List.copyOf(running.values())) end(r, "lapsed");
    }

    /** For how long [run] has worked, in milliseconds; -1 before it works. */
    private long worked(Run run, long at) {
        long since = run.gang > 0 ? gangs.worksSince(run) : run.startedAt;
        return since < 0 ? -1 : at - since;
    }

    private void work() {
        while (true) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
            settle();
        }
    }

    private Web.Answer handle(
        String method, String path, Map<String, String> query, Map<String, String> headers, String body
    ) throws Exception {
        synchronized (this) {
            if (!isUp) return new Web.Answer(0, "");
            String expected = headers.get("x-expected-instance");
            if (expected != null && !expected.equals(id)) return new Web.Answer(421, "{}");
            if (!method.equals("POST")) return new Web.Answer(200, "{}");
            Map<String, Object> call = Json.object(body);
            long fence = Json.number(call, "fencing-token", 0);
            if (fence < token) return rejected("fence");
            token = fence;
            switch (path) {
                case "/v1/run-start":
                    return start(call);
                case "/v1/run-stop":
                    return stop(call);
                case "/v1/pace":
                    return Web.Answer.json(200, Json.map("clock-ms", now(), "born", born));
                case "/v1/hold":
                    return hold(call);
                default:
                    return new Web.Answer(404, "{}");
            }
        }
    }

    private Web.Answer rejected(String reason) {
        return Web.Answer.json(409, Json.map("clock-ms", now(), "born", born, "reason", reason));
    }

    private void extend(Map<String, Object> call) {
        long until = Json.number(call, "until-ms", 0);
        leaseUntil = Math.max(leaseUntil, Math.min(until, now() + HOLD_MAX_MILLIS));
    }

    private Web.Answer start(Map<String, Object> call) {
        String task = Json.text(call, "task");
        int number = (int) Json.number(call, "run", 0);
        Run run = new Run(task, number, Json.text(call, "spec"));
        Run present = running.get(task);
        extend(call);
        if (present != null && present.number == number) {
            return Web.Answer.json(200, Json.map("clock-ms", now(), "born", born));
        }
        if (number <= highest.getOrDefault(task, 0) || present != null) return rejected("old");
        if (leaseUntil <= now()) return rejected("late");
        long moreCpu = run.fills ? 0 : run.cpu;
        if (usedCpu + moreCpu > cpu || usedMemory + run.memory > memory) return rejected("room");
        usedCpu += moreCpu;
        usedMemory += run.memory;
        running.put(task, run);
        if (run.gang > 0) gangs.join(run);
        history.add(run);
        trace.say(name + " starts " + task + " run " + number + " token " + token);
        return Web.Answer.json(200, Json.map("clock-ms", now(), "born", born));
    }

    private Web.Answer stop(Map<String, Object> call) {
        String task = Json.text(call, "task");
        int number = (int) Json.number(call, "run", 0);
        highest.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number) end(run, "stopped");
        return Web.Answer.json(200, Json.map("clock-ms", now(), "born", born));
    }

    private Web.Answer hold(Map<String, Object> call) throws InterruptedException {
        extend(call);
        long seen = Json.number(call, "last-seen", 0);
        ended.removeIf(e -> {
            if (e.number > seen) return false;
            trace.say(name + " forgets end " + e.number + " of " + e.run.task + " run " + e.run.number);
            return true;
        });
        long life = born;
        long until = System.nanoTime() + Math.min(2_000, Json.number(call, "wait-ms", 0)) * 1_000_000;
        while (ended.isEmpty()) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            wait(left);
            if (!isUp || born != life) return new Web.Answer(0, "");
        }
        List<Object> runs = new ArrayList<>();
        for (Run r : running.values()) {
            long percent =
                r.lasts ? 100 : Math.max(0, Math.min(99, worked(r, Trace.millis()) * 100 / Math.max(1, r.millis)));
            long load = r.serves ? r.load * loadPercent / 100 : r.load;
            runs.add(List.of(r.task, r.number, "", percent, load));
        }
        List<Object> ends = new ArrayList<>();
        for (End e : ended.subList(0, Math.min(ENDS_PER_LIST, ended.size()))) {
            ends.add(List.of(e.number, e.run.task, e.run.number, e.run.end, ""));
        }
        return Web.Answer.json(200, Json.map("clock-ms", now(), "born", born, "running", runs, "ended", ends));
    }

    /** Sends heartbeats of each life, every 1.5 s. */
    private void beat() {
        long announced = 0;
        while (true) {
            String body;
            String to;
            synchronized (this) {
                try {
                    if (!isUp) {
                        wait();
                        continue;
                    }
                    if (announced != born) {
                        announced = born;
                        pause(firstBeatMillis);
                        continue;
                    }
                    body = Json.write(heartbeat());
                    to = "http://" + agent + "/v1/instances/" + id;
                } catch (InterruptedException e) {
                    return;
                }
            }
            Web.Answer answer = Web.call("PUT", to, null, body, 1_000);
            if (answer.status() / 100 == 2) acknowledged++; else refused++;
            if (answer.status() / 100 != 2 && answer.status() != 0) {
                trace.say(name + ": heartbeat as " + to.substring(to.lastIndexOf('/') + 1) + " is answered " + answer.status());
            }
            synchronized (this) {
                try {
                    pause(BEAT_MILLIS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    /** Waits for [millis], or until this life ends. */
    private void pause(long millis) throws InterruptedException {
        long life = born;
        long until = System.nanoTime() + millis * 1_000_000;
        long left;
        while (isUp && born == life && (left = (until - System.nanoTime()) / 1_000_000) > 0) wait(left);
    }

    private Map<String, Object> heartbeat() {
        return Json.map("service", service, "address", address(), "zone", "zone-1", "version", "v1", "slots", 8,
            "state", "ready", "cold-remaining-ms", 0, "capacity", Json.map("cpu", cpu, "mem-mb", memory, "gpu", 0),
            "labels", labels, "clock-ms", now(), "born", born, "seq", ++seq);
    }
}
