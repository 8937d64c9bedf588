import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts processes of the deploy file with its commands and templates, in a folder for their settings and logs. */
final class Deployment {
    /** One machine with one role. */
    final class Machine {
        final String name;
        final String role;
        final int front = Web.freePort();
        final int ready = Web.freePort();
        final int control = Web.freePort();
        final int peers = Web.freePort();
        final int metrics = Web.freePort();

        /** The address at which this machine reaches the store. */
        final String store = openStore.call();
        private Process process;

        Machine(String name, String role) throws Exception {
            this.name = name;
            this.role = role;
        }

        String control() {
            return Web.HOST + ":" + control;
        }

        String front() {
            return "http://" + Web.HOST + ":" + front;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, fill(Files.readString(root.resolve(templates.get(role)))));
            ProcessBuilder builder = new ProcessBuilder(commands.get(role)).directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            Map<String, String> kept = new LinkedHashMap<>();
            for (String key : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (System.getenv(key) != null) kept.put(key, System.getenv(key));
            }
            builder.environment().clear();
            builder.environment().putAll(kept);
            builder.environment().put("CAMPHORHALL_NODE_FILE", settings.toString());
            process = builder.start();
            trace.say(name + " (" + role + ") starts");
        }

        private String fill(String template) {
            Map<String, String> values = Map.of(
                "node-name", name, "ip", Web.HOST, "listen-addrs.front", Web.HOST + ":" + front,
                "listen-addrs.ready-addr", Web.HOST + ":" + ready, "listen-addrs.control", control(),
                "port-range.0", "" + peers, "port-range.1", "" + metrics, "platform.address", store);
            Matcher matcher = Pattern.compile("\\{\\{([a-z0-9.-]+)\\}\\}").matcher(template);
            return matcher.replaceAll(m -> Matcher.quoteReplacement(values.get(m.group(1))));
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Sends SIGKILL and waits for the end. */
        void kill() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor();
            trace.say(name + " is killed");
        }

        /** Sends a signal such as STOP or CONT. */
        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
            trace.say(name + " gets SIG" + signal);
        }
    }

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final Trace trace;
    private final Callable<String> openStore;
    private final Map<String, List<String>> commands = new LinkedHashMap<>();
    private final Map<String, String> templates = new LinkedHashMap<>();
    private final List<Machine> machines = new ArrayList<>();

    /** Reads the deploy file below the working directory, which is the root of the repository. */
    Deployment(Trace trace, Path folder, Callable<String> openStore) throws IOException {
        this.trace = trace;
        this.folder = folder;
        this.openStore = openStore;
        String role = "";
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            Matcher section = Pattern.compile("\\[roles\\.(.+)\\]").matcher(line);
            if (section.matches()) role = section.group(1);
            Matcher field = Pattern.compile("(run|template) = \"(.*)\"").matcher(line);
            if (!field.matches()) continue;
            if (field.group(1).equals("run")) commands.put(role, List.of(field.group(2).split(" ")));
            else templates.put(role, field.group(2));
        }
    }

    Machine start(String name, String role) throws Exception {
        Machine machine = new Machine(name, role);
        machines.add(machine);
        machine.start();
        return machine;
    }

    /** Waits until the entry is ready; false if it is not within [millis]. */
    static boolean isReady(Machine entry, long millis) throws InterruptedException {
        long until = Trace.millis() + millis;
        while (Trace.millis() < until) {
            String url = "http://" + Web.HOST + ":" + entry.ready + "/v1/ready";
            if (Web.call("GET", url, null, null, 1_000).status() == 200) return true;
            Thread.sleep(100);
        }
        return false;
    }

    /** Ends all processes that were started. */
    void close() throws InterruptedException {
        for (Machine m : machines) if (m.process != null) m.process.destroyForcibly();
        for (Machine m : machines) if (m.process != null) m.process.waitFor(10, TimeUnit.SECONDS);
    }
}
