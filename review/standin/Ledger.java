import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the workers have seen: starts, ends, and ends taken note of. */
final class Ledger {
    static final class Start {
        final String worker;
        final String task;
        final long run;
        final long at;
        long endedAt = Long.MAX_VALUE;
        String how = "";
        /** Whether the end was taken note of while the lease of the worker had not lapsed since. */
        boolean isNoted;

        Start(String worker, String task, long run, long at) {
            this.worker = worker;
            this.task = task;
            this.run = run;
            this.at = at;
        }

        @Override
        public String toString() {
            return "run " + run + " on " + worker + " from " + at + " ms to "
                + (endedAt == Long.MAX_VALUE ? "now" : endedAt + " ms (" + how + (isNoted ? ", taken note of)" : ")"));
        }
    }

    private final Record record;
    private final Map<String, List<Start>> starts = new HashMap<>();

    Ledger(Record record) {
        this.record = record;
    }

    synchronized void started(String worker, String task, long run) {
        starts.computeIfAbsent(task, t -> new ArrayList<>()).add(new Start(worker, task, run, record.millis()));
        record.line("start  " + task + " run " + run + " on " + worker);
    }

    synchronized void ended(String worker, String task, long run, String how) {
        Start s = find(worker, task, run);
        if (s == null) return;
        s.endedAt = record.millis();
        s.how = how;
        record.line("end    " + task + " run " + run + " on " + worker + " " + how);
    }

    synchronized void noted(String worker, Worker.End e, boolean hasLapsed) {
        Start s = find(worker, e.task(), e.run());
        if (s != null && !hasLapsed) s.isNoted = true;
        String lapse = hasLapsed ? " after a lapse" : "";
        record.line("noted  " + e.task() + " run " + e.run() + " on " + worker + " " + e.how() + lapse);
    }

    private Start find(String worker, String task, long run) {
        Start last = null;
        for (Start s : starts.getOrDefault(task, List.of())) {
            if (s.worker.equals(worker) && s.run == run) last = s;
        }
        return last;
    }

    synchronized Map<String, List<Start>> all() {
        Map<String, List<Start>> copy = new HashMap<>();
        starts.forEach((t, l) -> copy.put(t, List.copyOf(l)));
        return copy;
    }

    /** Tasks with two runs at one time, or with a start after a run that ended done and was taken note of. */
    synchronized Set<String> startedTwice() {
        Set<String> twice = new HashSet<>();
        starts.forEach((task, list) -> {
            for (Start a : list) {
                for (Start b : list) {
                    if (a == b || b.at < a.at) continue;
                    boolean isAtOnce = b.at < a.endedAt && b != a;
                    boolean isAfterDone = a.how.equals("done") && a.isNoted && b.at > a.endedAt;
                    if (isAtOnce || isAfterDone) twice.add(task);
                }
            }
        });
        return twice;
    }
}
