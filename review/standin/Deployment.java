import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The project's processes, started with the commands and templates of the deploy file, and a client for them. */
final class Deployment {
    static final String HOST = "mill.example";
    static final String PREFIX = "/plans/";
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 20_000;
    private static int nextPort = (int) (ProcessHandle.current().pid() % 199 * 100);

    final class Node {
        final String name;
        final Process process;
        final Map<String, String> values;

        Node(String name, Process process, Map<String, String> values) {
            this.name = name;
            this.process = process;
            this.values = values;
        }

        void signal(String signal) throws Exception {
            record.line("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    final Path dir;
    final Record record;
    private final List<Node> nodes = new ArrayList<>();
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(1_000)).build();

    Deployment(Record record) throws IOException {
        this.record = record;
        dir = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /**
     * A free port below the range from which the system takes the ports of outgoing connections. Runs at the same time
     * begin in different places.
     */
    static synchronized int freePort() {
        while (true) {
            int port = FIRST_PORT + nextPort++ % PORTS;
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (IOException e) {
                // The port is in use.
            }
        }
    }

    /** Starts [role] of the deploy file as the machine [name], with the store at [store]. */
    Node start(String role, String name, String store) throws Exception {
        Map<String, String> values = new TreeMap<>();
        values.put("node-name", name);
        values.put("ip", "127.0.0.1");
        values.put("port-range.0", Integer.toString(freePort()));
        values.put("port-range.1", Integer.toString(freePort()));
        values.put("listen-addrs.control", "127.0.0.1:" + freePort());
        values.put("listen-addrs.front", "127.0.0.1:" + freePort());
        values.put("listen-addrs.ready-addr", "127.0.0.1:" + freePort());
        values.put("platform.address", store);
        return launch(role, name, values);
    }

    /** Starts the process of [old] again on the same machine. */
    Node restart(String role, Node old) throws Exception {
        return launch(role, old.name, old.values);
    }

    private Node launch(String role, String name, Map<String, String> values) throws Exception {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
        String settings = Files.readString(Path.of(setting(section, "template")));
        for (Map.Entry<String, String> v : values.entrySet()) {
            settings = settings.replace("{{" + v.getKey() + "}}", v.getValue());
        }
        Path file = dir.resolve(name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder b = new ProcessBuilder(setting(section, "run").split(" "));
        b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        b.environment().put("CAMPHORHALL_NODE_FILE", file.toString());
        Path log = dir.resolve(name + ".log");
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Node node = new Node(name, b.start(), values);
        nodes.add(node);
        record.line("process " + name + " started, role " + role);
        return node;
    }

    private static String setting(String section, String key) {
        for (String line : section.split("\n")) {
            if (line.startsWith(key + " = \"")) return line.substring(key.length() + 4, line.lastIndexOf('"'));
        }
        throw new IllegalStateException("the deploy file has no " + key);
    }

    /** The operator's configuration with one queue, and one more for each of [more] prefixes. */
    static String config(int version, String... more) {
        List<Object> routes = new ArrayList<>();
        routes.add(route("plans", PREFIX));
        for (String prefix : more) routes.add(route(prefix.replace("/", ""), prefix));
        return Json.write(Json.of(
            "version", version,
            "routes", routes,
            "services", List.of(Json.of("name", "desk", "admission-check", true, "health-path", "/healthz")),
            "limits", Json.of("max-body-bytes", 262_144)));
    }

    private static Map<String, Object> route(String name, String prefix) {
        return Json.of("name", name, "host", HOST, "prefix", prefix, "type", "non_idempotent", "timeout-ms", 3_000,
            "slo-ms", 1_000, "service", "desk", "priority", 0, "max-attempts", 3, "stretch", 2.0);
    }

    /** Sends one request as a client. Returns the status, or 0 without an answer, and the body. */
    Http.Response call(Node entry, String method, String path, String body) {
        Http.Response result;
        try {
            String front = entry.values.get("listen-addrs.front");
            HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
            HttpRequest r = HttpRequest.newBuilder(URI.create("http://" + front + path))
                .timeout(Duration.ofMillis(3_500)).header("Host", HOST).header("X-Deadline-Ms", "3000")
                .header("Content-Type", "application/json")
                .method(method, publisher)
                .build();
            HttpResponse<String> a = http.send(r, HttpResponse.BodyHandlers.ofString());
            result = new Http.Response(a.statusCode(), a.body());
        } catch (Exception e) {
            result = new Http.Response(0, e.toString());
        }
        record.line(entry.name + " " + method + " " + path + " -> " + result.status() + " " + result.body());
        return result;
    }

    /** Submits a job to the queue of all configurations. Returns whether it was accepted. */
    boolean submit(Node entry, String id, String job) {
        return call(entry, "POST", PREFIX + id, job).status() == 200;
    }

    /** Waits until the entry is ready and the owner answers. */
    void awaitReady(Node entry) throws Exception {
        for (int i = 0; i < 150; i++) {
            if (call(entry, "GET", PREFIX, null).status() == 200) return;
            Thread.sleep(200);
        }
        throw new IllegalStateException("the deployment is not ready after 30 s");
    }

    static String job(int tasks, long work, long cpu, long mem, boolean lasts) {
        return job(tasks, work, cpu, mem, lasts, null);
    }

    /** A job of one step, whose tasks need the label [label] if it is not null. */
    static String job(int tasks, long work, long cpu, long mem, boolean lasts, String label) {
        Map<String, Object> step =
            Json.of("count", tasks, "cpu", cpu, "mem-mb", mem, "estimate-ms", Math.max(work, 300));
        if (lasts) step.put("long-running", true);
        if (label != null) step.put("required-label", label);
        return Json.write(Json.of("spec", "work=" + work + " cpu=" + cpu + " mem=" + mem, "steps", List.of(step)));
    }

    /** Ends all processes and removes the temporary folder, unless KEEP is set. */
    void close() {
        record.end();
        for (Node n : nodes) n.process.destroyForcibly();
        if (System.getenv("KEEP") != null) return;
        try {
            for (Node n : nodes) n.process.waitFor();
            try (java.util.stream.Stream<Path> files = Files.list(dir)) {
                for (Path f : files.toList()) Files.delete(f);
            }
            Files.delete(dir);
        } catch (IOException | InterruptedException e) {
            System.err.println("temporary folder not removed: " + e);
        }
    }
}
