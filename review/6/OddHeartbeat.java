import java.util.List;

/** One heartbeat of another writer, of a service that is not configured, reaches the agent of a worker. */
final class OddHeartbeat extends Case {
    public static void main(String[] args) throws Exception {
        Case.main(new OddHeartbeat(), args);
    }

    @Override
    boolean play() throws Exception {
        begin(List.of(List.of("a", "r-1"), List.of("a", "r-1"), List.of("b", "r-2")), 32_000, 64_000);
        if (TROUBLE) {
            String body = Json.write(Json.map("service", "nobody", "address", Web.HOST + ":" + Web.freePort(),
                "zone", "zone-1", "version", "v1", "slots", 8, "state", "ready", "cold-remaining-ms", 0,
                "capacity", Json.map("cpu", 32_000, "mem-mb", 64_000, "gpu", 0), "labels", List.of("a", "r-1"),
                "clock-ms", 1_000, "born", System.currentTimeMillis(), "seq", 1));
            String url = "http://" + agents.get(2).control() + "/v1/instances/i-other";
            trace.say("heartbeat of i-other, service nobody, at side-3 -> " + Web.call("PUT", url, null, body, 1_000).status());
        }
        Thread.sleep(5_000);
        String id = "00000000000000b2";
        List<Object> steps = List.of(Json.map("count", 2, "cpu", 1_000, "mem-mb", 64, "estimate-ms", 500,
            "required-label", "b"));
        if (!submit("/quotes/", id, Json.map("spec", "ms=500 cpu=1000 mem=64", "steps", steps))) {
            throw new NotPlayed("the job is not accepted");
        }
        return comesToEnd("/quotes/", id);
    }
}
