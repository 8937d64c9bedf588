import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A worker starts again under its id after a short loss of power, while the store turns its agent's machine away. */
final class NewLife extends Case {
    private static final int WORKERS = 8;
    private static final int TASKS = 24;
    private static final long DOWN_MILLIS = 300;
    private static final long REFUSED_MILLIS = 9_000;

    public static void main(String[] args) throws Exception {
        Case.main(new NewLife(), args);
    }

    /** Whether the part of the disruption named [part] is played; ONLY names one of them to play it alone. */
    private static boolean plays(String part) {
        String only = System.getenv("ONLY");
        return TROUBLE && (only == null || only.equals(part));
    }

    @Override
    boolean play() throws Exception {
        List<List<String>> labels = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) labels.add(List.of(i < WORKERS - 2 ? "a" : "b", "r-" + (1 + i / 3)));
        begin(labels, 64_000, 250_000);
        Worker w = workers.get(WORKERS - 1);
        Deployment.Machine machine = agents.get(WORKERS - 1);
        w.firstBeatMillis = Long.parseLong(System.getenv().getOrDefault("FIRST_BEAT", "500"));
        long startedAt = Trace.millis();
        if (plays("store")) {
            store.refuse(machine.store, true);
            trace.say("the store answers " + machine.name + " with 503");
        }
        Thread.sleep(1_000);
        if (plays("crash")) {
            w.crash(true);
            Thread.sleep(DOWN_MILLIS);
            w.up("i-000" + WORKERS);
        } else {
            Thread.sleep(DOWN_MILLIS);
        }
        Thread.sleep(100);
        String id = "0000000000000d00";
        List<Object> steps = List.of(Json.map("count", TASKS, "cpu", 1_000, "mem-mb", 1_000, "estimate-ms", 12_000,
            "required-label", "b"));
        if (!submit("/plans/", id, Json.map("spec", "ms=12000 cpu=1000 mem=1000", "steps", steps))) {
            throw new NotPlayed("the job is not accepted");
        }
        Thread.sleep(REFUSED_MILLIS - (Trace.millis() - startedAt));
        if (plays("store")) {
            store.refuse(machine.store, false);
            trace.say("the store serves " + machine.name + " again");
        }
        Thread.sleep(10_000);
        return isOnceAtATime(id);
    }

    private boolean isOnceAtATime(String id) {
        Map<String, List<Worker.Run>> byTask = new TreeMap<>();
        for (Worker.Run r : runsOf(id)) byTask.computeIfAbsent(r.task, key -> new ArrayList<>()).add(r);
        int twice = 0;
        for (List<Worker.Run> runs : byTask.values()) {
            for (Worker.Run a : runs) {
                for (Worker.Run b : runs) {
                    if (a.number >= b.number || a.endedAt >= 0 && a.endedAt <= b.startedAt) continue;
                    twice++;
                    trace.say("TWICE " + a.task + ": run " + a.number + " from " + a.startedAt + " to " + a.endedAt + " ("
                        + a.end + "), run " + b.number + " from " + b.startedAt);
                }
            }
        }
        trace.say(byTask.size() + " tasks began, " + twice + " of them ran twice at the same time");
        return twice == 0;
    }
}
