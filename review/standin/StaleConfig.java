import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Many clients have handed in jobs at once, which left some open connections between the entry and the store. All of
 * them go silent, while new ones work. After contact-ms the operator adds a queue. The entry must know it in time.
 */
final class StaleConfig {
    private static final int CLIENTS = 30;
    private static final long CONTACT = 3_000;
    private static final long CONFIG_APPLY = 2_000;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Ledger ledger = new Ledger(record);
        Store store = new Store(record);
        Proxy link = new Proxy(store.port);
        Deployment d = new Deployment(record);
        store.put("op/config", Deployment.config(1));
        Deployment.Node agent = d.start("agent", "side-0", store.address());
        Worker w = new Worker("i-0", "desk", 64_000, 256_000, ledger, record);
        w.sendHeartbeats(agent.values.get("listen-addrs.control"), "127.0.0.1:" + w.port, "r1-0");
        Deployment.Node entry = d.start("entry", "edge-0", link.address());
        d.awaitReady(entry);
        Thread.sleep(4_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = String.format("%016x", 0x8000 + i);
            String job = Deployment.job(1, 300, 960, 1_900, false);
            clients.add(new Thread(() -> d.submit(entry, id, job)));
        }
        for (Thread t : clients) t.start();
        for (Thread t : clients) t.join();
        Thread.sleep(3_000);
        if (hasTrouble) {
            int n = link.silenceOpen();
            record.line("silent from now on: " + n + " open connections between entry and store; new ones work");
        }
        Thread.sleep(CONTACT + 200);
        store.put("op/config", Deployment.config(2, "/added/"));
        long at = record.millis();
        record.line("operator adds the queue /added/ in version 2, acknowledged now");
        Thread.sleep(CONFIG_APPLY + 100);
        int first = d.call(entry, "GET", "/added/", null).status();
        record.line("request " + (record.millis() - at) + " ms after the acknowledgement: status " + first);
        int status = first;
        while (status == 404 && record.millis() < at + 40_000) {
            Thread.sleep(500);
            status = d.call(entry, "GET", "/added/", null).status();
        }
        record.line("first answer other than 404 about " + (record.millis() - at) + " ms after the acknowledgement: "
            + status);
        System.exit(first == 404 ? 1 : first == 200 ? 0 : 2);
    }
}
