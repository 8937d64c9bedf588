import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards connections to one address. Existing ones can be made silent: no byte and no close passes any more. */
final class Proxy {
    private final class Pair {
        final Socket client;
        final Socket target;
        volatile boolean isSilent;

        Pair(Socket client, Socket target) {
            this.client = client;
            this.target = target;
        }

        void pump(Socket from, Socket into) {
            byte[] buffer = new byte[8_192];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = into.getOutputStream();
                while (true) {
                    int n = in.read(buffer);
                    if (isSilent) return;
                    if (n < 0) break;
                    out.write(buffer, 0, n);
                }
            } catch (IOException e) {
                if (isSilent) return;
            }
            open.remove(this);
            try {
                client.close();
                target.close();
            } catch (IOException e) {
                // Both sockets are given up.
            }
        }
    }

    private final Set<Pair> open = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private final int target;

    Proxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Makes the open connections silent and returns their number. */
    int silenceOpen() {
        int n = open.size();
        for (Pair p : open) p.isSilent = true;
        return n;
    }

    private void accept() {
        while (true) {
            try {
                Socket client = server.accept();
                Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
                client.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                Pair p = new Pair(client, to);
                open.add(p);
                daemon(() -> p.pump(client, to));
                daemon(() -> p.pump(to, client));
            } catch (IOException e) {
                // The target is not reachable now; the client's connection attempt has failed.
            }
        }
    }

    private static void daemon(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }
}
