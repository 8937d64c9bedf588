import java.nio.file.Path;
import java.util.List;

/**
 * A client hands a job in while answers of the store are lost and the writes are carried out late, gets 504, and cancels
 * the job at another entry. The cancelling is acknowledged; then the late write creates the job.
 */
public final class Case12 {
    private static final String JOB = "5c0e7a21d94b36f8";

    /** Bounds of the pages in milliseconds. */
    private static final long CANCEL_MS = 3_000;
    private static final long STOP_TIMEOUT_MS = 900;
    private static final long CONTACT_MS = 3_000;

    /** platform_lost of the site: for_s 4.5, x 0.35; with `late` the writes are done 1 to 6 s later. */
    private static final long LOST_FOR_MS = 4_500;
    private static final double LOST_SHARE = 0.35;
    private static final long LATE_MS = 5_000;

    private static long writes;
    private static long lost;
    private static volatile long lastLateAt;

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Trace trace = new Trace(Path.of("review/12/record.txt")); Deployment d = new Deployment(trace, 2, 3)) {
            d.configure(2, Deployment.CLASS);
            if (d.awaitReady()) status = run(d, trace, isTrouble);
            else trace.write("the deployment did not become ready");
        }
        System.exit(status);
    }

    private static int run(Deployment d, Trace trace, boolean isTrouble) {
        long from = trace.now();
        Thread others = new Thread(() -> submitOthers(d, from));
        others.setDaemon(true);
        others.start();
        Store.sleep(1_000);
        long lostFrom = trace.now();
        if (isTrouble) d.store.fault = (caller, call) -> decide(trace, lostFrom, caller, call);

        trace.write("client: POST " + JOB + " at edge-0, deadline 3000 ms");
        Http.Reply handedIn = d.call(0, "POST", Deployment.CLASS + JOB, Deployment.job(2, 3, "6000"));
        trace.write("client: answer " + status(handedIn) + "; cancels the job");
        Http.Reply cancelled = null;
        for (int i = 0; i < 8 && (cancelled == null || cancelled.status() != 200 && cancelled.status() != 410); i++) {
            if (i > 0) Store.sleep(300);
            cancelled = d.call(1, "DELETE", Deployment.CLASS + JOB, null);
            trace.write("client: DELETE " + JOB + " at edge-1, answer " + status(cancelled));
        }
        if (cancelled == null || cancelled.status() != 200 && cancelled.status() != 410) return 2;
        long acknowledgedAt = trace.now();

        // The second step of the job is due when the store has been calm for longer than contact-ms.
        Store.sleep(20_000);
        long calmFrom = Math.max(lostFrom + LOST_FOR_MS, lastLateAt) + CONTACT_MS;
        synchronized (Case12.class) {
            trace.write("store: " + lost + " of " + writes + " writes without an answer, the last carried out at "
                + lastLateAt + " ms; machines in touch from " + calmFrom + " ms");
            if (lost > writes * LOST_SHARE) return 2;
        }
        Http.Reply state = d.call(1, "GET", Deployment.CLASS + JOB, null);
        trace.write("client: GET " + JOB + " at edge-1, answer " + status(state) + (state == null ? "" : " " + state.body()));
        return judge(trace, d.runsOf(JOB), acknowledgedAt, calmFrom);
    }

    /** Loses the answers of all tries to store the job, and carries the writes out late. */
    private static synchronized Store.Decision decide(Trace trace, long from, String caller, Http.Call call) {
        if (!call.path().equals("/v1/kv-txn") || trace.now() > from + LOST_FOR_MS) return null;
        writes++;
        boolean isJob = Json.rows(Json.object(call.body()), "writes").stream()
            .anyMatch(w -> Json.string(w, "key").endsWith("in/job/" + JOB));
        if (!isJob) return null;
        lost++;
        lastLateAt = Math.max(lastLateAt, trace.now() + LATE_MS);
        trace.write("store: write of the job by " + caller + " gets no answer and is carried out in " + LATE_MS + " ms");
        return Store.Decision.late(LATE_MS);
    }

    /** Other clients, whose jobs go on. */
    private static void submitOthers(Deployment d, long from) {
        for (int i = 0; d.trace.now() < from + 8_000; i++) {
            d.call(1, "POST", Deployment.CLASS + String.format("%016x", 0xabc000L + i), Deployment.job(1, 2, "400"));
            Store.sleep(120);
        }
    }

    private static int judge(Trace trace, List<Worker.Run> runs, long acknowledgedAt, long calmFrom) {
        boolean isBroken = false;
        long startBound = Math.max(acknowledgedAt + CANCEL_MS, calmFrom);
        for (Worker.Run r : runs) {
            if (r.startedAt <= startBound) continue;
            trace.write("BROKEN: " + r.task + " started " + (r.startedAt - acknowledgedAt)
                + " ms after the acknowledged cancelling, by a machine in touch");
            isBroken = true;
        }
        long runBound = Math.max(acknowledgedAt, calmFrom) + CANCEL_MS + STOP_TIMEOUT_MS;
        for (Worker.Run r : runs) {
            if (r.endedAt != null && r.endedAt <= runBound) continue;
            trace.write("BROKEN: " + r.task + " runs on " + ((r.endedAt == null ? trace.now() : r.endedAt) - acknowledgedAt)
                + " ms after the acknowledged cancelling");
            isBroken = true;
        }
        trace.write((isBroken ? "rule broken" : "rule held") + ", " + runs.size() + " runs of the job");
        return isBroken ? 1 : 0;
    }

    private static String status(Http.Reply r) {
        return r == null ? "none" : Integer.toString(r.status());
    }
}
