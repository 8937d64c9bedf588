import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
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
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP on loopback addresses. */
final class Http {
    /** A response; a null response leaves the call without one. */
    record Reply(int status, String body) {
        static Reply ok(Object body) {
            return new Reply(200, Json.write(body));
        }

        static Reply of(int status) {
            return new Reply(status, "{}");
        }
    }

    record Call(String method, String path, Map<String, String> query, String body, Map<String, String> headers) {
    }

    interface Handler {
        Reply handle(Call call) throws Exception;
    }

    private static final HttpClient CLIENT =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();

    private Http() {
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 4_000);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", exchange -> respond(exchange, handler));
        server.start();
        return server;
    }

    private static void respond(HttpExchange exchange, Handler handler) throws IOException {
        Reply reply;
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> headers = new HashMap<>();
            exchange.getRequestHeaders().forEach((name, values) -> headers.put(name.toLowerCase(), values.get(0)));
            URI uri = exchange.getRequestURI();
            Call call = new Call(exchange.getRequestMethod(), uri.getPath(), query(uri.getRawQuery()), body, headers);
            reply = handler.handle(call);
        } catch (Exception e) {
            e.printStackTrace();
            reply = Reply.of(500);
        }
        if (reply == null) {
            exchange.close();
            return;
        }
        byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        try {
            exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller has closed the connection.
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> map = new HashMap<>();
        if (raw == null) return map;
        for (String part : raw.split("&")) {
            int i = part.indexOf('=');
            map.put(part.substring(0, i), URLDecoder.decode(part.substring(i + 1), StandardCharsets.UTF_8));
        }
        return map;
    }

    /** Sends a call; null if no response arrives within [millis]. */
    static Reply send(String method, String url, String body, long millis) {
        HttpRequest.BodyPublisher publisher = body == null
            ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest request = HttpRequest.newBuilder(URI.create(url)).method(method, publisher)
            .header("Content-Type", "application/json").header("X-Deadline-Ms", Long.toString(millis))
            .timeout(Duration.ofMillis(millis)).build();
        try {
            HttpResponse<String> r = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Reply(r.statusCode(), r.body());
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }
}
