import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The runs of gangs on all workers: members work from when all are there, and the end of one ends the others. */
final class Gangs {
    private static final long TIMEOUT_MILLIS = 3_000;

    private static final class Gang {
        final Set<String> members = new HashSet<>();
        long completeAt = -1;
        String end;
    }

    private final Map<String, Gang> gangs = new HashMap<>();

    private Gang of(Worker.Run run) {
        String step = run.task.substring(0, run.task.lastIndexOf('.'));
        return gangs.computeIfAbsent(step + " run " + run.number, key -> new Gang());
    }

    synchronized void join(Worker.Run run) {
        Gang gang = of(run);
        gang.members.add(run.task);
        if (gang.members.size() == run.gang) gang.completeAt = Trace.millis();
    }

    /** Notes the end of a member. */
    synchronized void leave(Worker.Run run, String how) {
        Gang gang = of(run);
        if (gang.end == null) gang.end = how.equals("done") ? "done" : "broken";
    }

    /** Since when the gang of [run] works; -1 while members are missing. */
    synchronized long worksSince(Worker.Run run) {
        return of(run).completeAt;
    }

    /** How [run] ends now because of its gang; null if it goes on. */
    synchronized String endOf(Worker.Run run) {
        Gang gang = of(run);
        if (gang.end != null) return gang.end;
        boolean isAlone = gang.completeAt < 0 && Trace.millis() - run.startedAt > TIMEOUT_MILLIS;
        return isAlone ? "alone" : null;
    }
}
