import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Frame of a case: a store, entries, agents and workers. Exits with 0, 1 or 2, as the issue asks. */
abstract class Case {
    static final String HOST = "quotes.example";
    private static final String SERVICE = "desk";
    static final int MAX_ATTEMPTS = 2;

    /** Time after the end of the traffic in which jobs have to come to an end, and the span that the rule LOST names. */
    static final long FINISH_MILLIS = 14_000;
    static final long IDLE_MILLIS = 3_000;
    private static final long LIMIT_MILLIS = 115_000;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final List<Deployment.Machine> agents = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    final Gangs gangs = new Gangs();
    Trace trace;
    Store store;
    Deployment deployment;
    Deployment.Machine entry;

    /** Plays the case and returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Thrown when the case cannot be judged. */
    static final class NotPlayed extends Exception {
        private static final long serialVersionUID = 1L;

        NotPlayed(String reason) {
            super(reason);
        }
    }

    static void main(Case played, String[] args) throws Exception {
        Web.init();
        Path folder = Path.of(args[0]);
        Path scratch = Files.createTempDirectory("case-");
        played.trace = new Trace(folder.resolve("record.txt"));
        Thread limit = new Thread(() -> played.stopAfter(LIMIT_MILLIS));
        limit.setDaemon(true);
        limit.start();
        int status;
        try {
            played.store = new Store();
            played.deployment = new Deployment(played.trace, scratch, played.store::open);
            Thread end = new Thread(() -> {
                try {
                    played.deployment.close();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            Runtime.getRuntime().addShutdownHook(end);
            status = played.play() ? 0 : 1;
        } catch (NotPlayed e) {
            played.trace.say("the case could not run: " + e.getMessage());
            status = 2;
        } catch (Exception e) {
            played.trace.say("the case could not run: " + e);
            status = 2;
        }
        if (played.deployment != null) played.deployment.close();
        remove(scratch);
        played.trace.say(switch (status) {
            case 0 -> "the rule held";
            case 1 -> "THE RULE WAS BROKEN";
            default -> "not judged";
        } + (TROUBLE ? "" : " (without the disruption)"));
        System.out.println(status);
        Runtime.getRuntime().halt(status);
    }

    /** Removes the settings and logs of the processes, unless KEEP_LOGS is set. */
    private static void remove(Path folder) {
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println(folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.deleteIfExists(file);
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            System.err.println("not removed: " + e);
        }
    }

    private void stopAfter(long millis) {
        try {
            Thread.sleep(millis);
            trace.say("the case could not run: it took too long");
            deployment.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.out.println(2);
        Runtime.getRuntime().halt(2);
    }

    /** Starts an entry and one agent with a worker for each row of [labels]; waits until all work. */
    void begin(List<List<String>> labels, long cpu, long memory) throws Exception {
        store.put("op/config", Json.write(config(1)));
        entry = deployment.start("edge-1", "entry");
        for (int i = 0; i < labels.size(); i++) {
            Deployment.Machine agent = deployment.start("side-" + (i + 1), "agent");
            agents.add(agent);
            // The first agent becomes the owner of the shard.
            if (i == 0) Thread.sleep(3_000);
            workers.add(new Worker(trace, gangs, "worker-" + (i + 1), SERVICE, agent.control(), labels.get(i), cpu, memory));
        }
        for (int i = 0; i < workers.size(); i++) workers.get(i).up("i-000" + (i + 1));
        if (!Deployment.isReady(entry, 20_000)) throw new NotPlayed("the entry is not ready");
        long until = Trace.millis() + 20_000;
        for (Worker w : workers) {
            while (w.acknowledged == 0) {
                if (Trace.millis() > until) throw new NotPlayed(w.name + " got no acknowledgement");
                Thread.sleep(50);
            }
        }
        Thread.sleep(3_000);
    }

    /** Adds a machine with an agent and a worker, which is not up yet. */
    Worker addMachine(List<String> labels, long cpu, long memory) throws Exception {
        int n = agents.size() + 1;
        Deployment.Machine agent = deployment.start("side-" + n, "agent");
        agents.add(agent);
        Worker worker = new Worker(trace, gangs, "worker-" + n, SERVICE, agent.control(), labels, cpu, memory);
        workers.add(worker);
        Thread.sleep(5_000);
        return worker;
    }

    Map<String, Object> config(long version) {
        return Json.map("version", version,
            "routes", List.of(route("quotes", "/quotes/", 0), route("plans", "/plans/", 2)),
            "services", List.of(Json.map("name", SERVICE, "admission-check", true)),
            "limits", Json.map("max-body-bytes", 262_144));
    }

    static Map<String, Object> route(String name, String prefix, int priority) {
        return Json.map("name", name, "host", HOST, "prefix", prefix, "service", SERVICE, "timeout-ms", 3_000,
            "priority", priority, "max-attempts", MAX_ATTEMPTS, "stretch", 2.0, "slo-ms", 1_000);
    }

    /** Hands a job in, four times at most, as a client does. Returns whether it was accepted. */
    boolean submit(String prefix, String id, Map<String, Object> job) throws InterruptedException {
        for (int tries = 0; tries < 4; tries++) {
            Web.Answer answer = Web.call("POST", entry.front() + prefix + id, HOST, Json.write(job), 3_500);
            trace.say("POST " + prefix + id + " -> " + answer.status());
            if (answer.status() / 100 == 2) return true;
            Thread.sleep(1_000);
        }
        return false;
    }

    String state(String prefix, String id) {
        Web.Answer answer = Web.call("GET", entry.front() + prefix + id, HOST, null, 3_500);
        return answer.status() == 200 ? Json.text(Json.object(answer.body()), "state") : "status " + answer.status();
    }

    List<Worker.Run> runsOf(String id) {
        List<Worker.Run> all = new ArrayList<>();
        for (Worker w : workers) {
            synchronized (w) {
                for (Worker.Run r : w.history) if (r.task.startsWith(id + ".")) all.add(r);
            }
        }
        return all;
    }

    /**
     * Watches an accepted job, the last of the traffic. Returns whether it comes to an end. It does not if it has had
     * nothing running from FINISH_MILLIS after its acceptance on, for IDLE_MILLIS and as long again as a margin.
     */
    boolean comesToEnd(String prefix, String id) throws InterruptedException {
        long acceptedAt = Trace.millis();
        long idleSince = acceptedAt;
        while (true) {
            Thread.sleep(500);
            String state = state(prefix, id);
            List<Worker.Run> runs = runsOf(id);
            long running = runs.stream().filter(r -> r.end == null).count();
            long now = Trace.millis();
            trace.say("GET " + prefix + id + " -> " + state + "; starts " + runs.size() + ", running " + running);
            if (state.equals("completed")) return true;
            if (running > 0) idleSince = now;
            idleSince = Math.max(idleSince, Math.min(now, acceptedAt + FINISH_MILLIS));
            if (now - idleSince >= 2 * IDLE_MILLIS) return false;
        }
    }
}
