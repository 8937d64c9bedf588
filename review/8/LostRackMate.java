import java.util.List;

/** A worker is lost for good, after which no rack has room for a whole gang that asks for one rack. */
final class LostRackMate extends Case {
    public static void main(String[] args) throws Exception {
        Case.main(new LostRackMate(), args);
    }

    @Override
    boolean play() throws Exception {
        List<String> first = List.of("a", "r-1");
        List<String> second = List.of("a", "r-2");
        List<String> third = List.of("a", "r-3");
        begin(List.of(first, first, first, second, second, third, third, List.of("a", "r-4")), 32_000, 64_000);
        if (TROUBLE) workers.get(1).crash(false);
        Thread.sleep(5_000);
        String id = "00000000000000d1";
        List<Object> steps = List.of(Json.map("count", 3, "cpu", 20_000, "mem-mb", 1_000, "estimate-ms", 2_000,
            "gang", true, "same-rack", true));
        if (!submit("/plans/", id, Json.map("spec", "gang=3 ms=2000 cpu=20000 mem=1000", "steps", steps))) {
            throw new NotPlayed("the job is not accepted");
        }
        return comesToEnd("/plans/", id);
    }
}
