import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 server on a loopback port. */
final class Http {
    record Request(String method, String path, Map<String, String> query, String expectedInstance, String body) {}

    /** A response; a null body closes the connection without an answer. */
    record Response(int status, String body) {
        static Response json(int status, Object value) {
            return new Response(status, Json.write(value));
        }
    }

    interface Handler {
        Response handle(Request request) throws Exception;
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });

    /** Serves requests at [port], or at a free port if it is 0. */
    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_024);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> respond(exchange, handler));
        server.start();
        return server;
    }

    private static void respond(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Response response;
            try {
                response = handler.handle(new Request(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().getPath(),
                    query(exchange.getRequestURI().getRawQuery()),
                    exchange.getRequestHeaders().getFirst("X-Expected-Instance"),
                    new String(body, StandardCharsets.UTF_8)));
            } catch (Exception e) {
                e.printStackTrace();
                response = new Response(400, "{}");
            }
            if (response.body() == null) return;
            byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(response.status(), bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller has closed the connection.
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> q = new HashMap<>();
        if (raw == null) return q;
        for (String part : raw.split("&")) {
            int i = part.indexOf('=');
            if (i > 0) q.put(part.substring(0, i), URLDecoder.decode(part.substring(i + 1), StandardCharsets.UTF_8));
        }
        return q;
    }

    private Http() {}
}
