import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * The network path to a worker. While the worker's machine is dark, nothing passes and nothing is closed. Once it is
 * back, connections from before are reset when something is sent on them, and silent until then; new ones work.
 */
final class Front {
    private final class Link {
        final Socket outer;
        final Socket inner;
        volatile boolean isOld;

        Link(Socket outer, Socket inner) {
            this.outer = outer;
            this.inner = inner;
        }
    }

    final int port;
    private final ServerSocket server;
    private final List<Link> links = new ArrayList<>();
    private volatile int target;
    private volatile boolean isDark;

    Front() throws IOException {
        server = new ServerSocket(0, 500, InetAddress.getByName(Web.HOST));
        port = server.getLocalPort();
        thread(this::accept);
    }

    /** Forwards new connections to [port] from now on. */
    void lead(int port) {
        target = port;
        isDark = false;
    }

    /** The machine behind loses power. */
    synchronized void darken() {
        isDark = true;
        for (Link l : links) l.isOld = true;
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket outer = server.accept();
                outer.setTcpNoDelay(true);
                if (isDark) {
                    Link lost = new Link(outer, null);
                    lost.isOld = true;
                    thread(() -> pump(lost, outer, null));
                    continue;
                }
                Socket inner = new Socket(Web.HOST, target);
                inner.setTcpNoDelay(true);
                Link link = new Link(outer, inner);
                synchronized (this) {
                    links.add(link);
                }
                thread(() -> pump(link, outer, inner));
                thread(() -> pump(link, inner, outer));
            } catch (IOException e) {
                // The worker does not listen; the caller sees a closed connection.
            }
        }
    }

    private void pump(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to == null ? null : to.getOutputStream();
            while (true) {
                int n = in.read(buffer);
                if (link.isOld) {
                    if (from != link.outer) return;
                    while (isDark) Thread.sleep(5);
                    link.outer.setSoLinger(true, 0);
                    link.outer.close();
                    return;
                }
                if (n < 0) break;
                out.write(buffer, 0, n);
            }
        } catch (IOException | InterruptedException e) {
            if (link.isOld) return;
        }
        close(link.outer);
        close(link.inner);
        synchronized (this) {
            links.remove(link);
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // Already closed.
        }
    }
}
