import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A worker fails all that it runs for six seconds, while a gang has several members there. */
final class GangFailures extends Case {
    private static final int WORKERS = 12;
    private static final int MEMBERS = 24;
    private static final long GREY_MILLIS = 6_000;

    public static void main(String[] args) throws Exception {
        Case.main(new GangFailures(), args);
    }

    @Override
    boolean play() throws Exception {
        List<List<String>> labels = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) labels.add(List.of("a", "r-" + (1 + i / 3)));
        begin(labels, 32_000, 64_000);
        Worker grey = workers.get(WORKERS - 1);
        if (TROUBLE) {
            grey.failsAfterMillis = 300;
            trace.say(grey.name + " fails all that it runs from now on");
        }
        long soundAt = Trace.millis() + GREY_MILLIS;
        String id = "00000000000000c1";
        List<Object> steps = List.of(Json.map("count", MEMBERS, "cpu", 4_000, "mem-mb", 1_000, "estimate-ms", 2_000,
            "gang", true));
        if (!submit("/plans/", id, Json.map("spec", "gang=" + MEMBERS + " ms=2000 cpu=4000 mem=1000", "steps", steps))) {
            throw new NotPlayed("the job is not accepted");
        }
        while (true) {
            Thread.sleep(500);
            if (TROUBLE && grey.failsAfterMillis >= 0 && Trace.millis() >= soundAt) {
                grey.failsAfterMillis = -1;
                trace.say(grey.name + " is sound again");
            }
            String state = state("/plans/", id);
            Set<Integer> all = new HashSet<>();
            Set<Integer> failed = new HashSet<>();
            for (Worker.Run r : runsOf(id)) {
                all.add(r.number);
                if ("failed".equals(r.end)) failed.add(r.number);
            }
            trace.say("GET /plans/" + id + " -> " + state + "; runs of the gang " + all + ", failed " + failed);
            if (state.equals("completed")) return true;
            // The gang may fail for good only after that many runs.
            if (state.equals("failed")) return failed.size() >= MAX_ATTEMPTS;
        }
    }
}
