import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers and calls on loopback. */
final class Web {
    static final String HOST = "127.0.0.1";
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();
    private static final HttpClient CLIENT =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();

    private Web() {
    }

    /** Status and body; status 0 sends nothing and closes the connection. */
    record Answer(int status, String body) {
        static Answer json(int status, Object body) {
            return new Answer(status, Json.write(body));
        }
    }

    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, Map<String, String> headers, String body)
            throws Exception;
    }

    static void init() {
        // Loads the class, whose properties have to be set before the first server.
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(HOST), port), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> respond(exchange, handler));
        server.start();
        return server;
    }

    private static void respond(HttpExchange exchange, Handler handler) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
            }
        }
        Map<String, String> headers = new HashMap<>();
        exchange.getRequestHeaders().forEach((k, v) -> headers.put(k.toLowerCase(), v.get(0)));
        Answer answer;
        try {
            answer = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, headers, body);
        } catch (Exception e) {
            answer = new Answer(400, "{\"error\":\"" + e.getClass().getSimpleName() + "\"}");
        }
        if (answer.status() == 0) {
            exchange.close();
            return;
        }
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
        exchange.close();
    }

    /** Sends one request; status 0 if there is no answer. [host] is the Host header, or null for the address. */
    static Answer call(String method, String url, String host, String body, long timeoutMillis) {
        try {
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(Duration.ofMillis(timeoutMillis))
                .header("Content-Type", "application/json")
                .method(method, body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
            if (host != null) request.header("Host", host).header("X-Deadline-Ms", "3000");
            HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, e.getClass().getSimpleName());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }

    /** A free port below those that the system gives to clients, which could take it before its server starts. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = 10_000 + RANDOM.nextInt(20_000);
            if (!GIVEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use; the next one may be free.
            }
        }
    }
}
