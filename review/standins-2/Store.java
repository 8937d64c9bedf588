import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's metadata store, as the page PROTOCOL describes it. */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int MAX_ENTRIES = 32;

    private record Item(String key, String value, long revision, long created, long lease) {
    }

    private record Event(long revision, Map<String, Object> row) {
    }

    private static final class Lease {
        long ttl;
        long endsAt;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private long revision = 1;
    private long lastLease = 100;

    /** Largest value of an item, in bytes. */
    volatile long valueBytes = 1_048_576;

    /** Machines that the store turns away with 503, by the address that they were given. */
    private final Set<String> refused = ConcurrentHashMap.newKeySet();

    Store() {
        Thread clock = new Thread(() -> {
            while (true) {
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    return;
                }
                expire();
            }
        });
        clock.setDaemon(true);
        clock.start();
    }

    /** Opens an address of the store for one machine. */
    String open() throws IOException {
        String[] own = new String[1];
        int port = Web.serve(0, (method, path, query, headers, body) ->
            refused.contains(own[0]) ? new Web.Answer(503, "{}") : handle(path, query, body)).getAddress().getPort();
        own[0] = Web.HOST + ":" + port;
        return own[0];
    }

    /** Turns the machine with [address] away from now on, or serves it again. */
    void refuse(String address, boolean isRefused) {
        if (isRefused) refused.add(address); else refused.remove(address);
    }

    /** Writes [value] as the operator does. */
    synchronized void put(String key, String value) {
        revision++;
        set(key, Base64.getEncoder().encodeToString(value.getBytes(java.nio.charset.StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    private Web.Answer handle(String path, Map<String, String> query, String body) throws Exception {
        Thread.sleep(4);
        switch (path) {
            case "/v1/kv-key":
                return get(query.get("key"));
            case "/v1/kv-range":
                return range(query.get("prefix"), query.getOrDefault("after", ""));
            case "/v1/kv-watch":
                return watch(
                    query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait-ms")));
            case "/v1/kv-txn":
                return commit(Json.object(body));
            case "/v1/kv-lease":
                return grant(Json.number(Json.object(body), "ttl-ms", 0));
            default:
                if (path.startsWith("/v1/kv-keep/")) return keep(Long.parseLong(path.substring(12)));
                if (path.startsWith("/v1/kv-lease-end/")) return end(Long.parseLong(path.substring(17)));
                return new Web.Answer(404, "{}");
        }
    }

    private static Map<String, Object> row(Item i) {
        return Json.map("key", i.key, "value", i.value, "revision", i.revision, "created-rev", i.created,
            "lease", i.lease);
    }

    private synchronized Web.Answer get(String key) {
        Item item = items.get(key);
        if (item == null) return Web.Answer.json(404, Json.map("store-revision", revision));
        Map<String, Object> row = row(item);
        row.put("store-revision", revision);
        return Web.Answer.json(200, row);
    }

    private synchronized Web.Answer range(String prefix, String after) {
        List<Object> rows = new ArrayList<>();
        boolean hasMore = false;
        long size = 0;
        for (Item item : items.tailMap(prefix, true).values()) {
            if (!item.key.startsWith(prefix)) break;
            if (item.key.compareTo(after) <= 0) continue;
            if (rows.size() == PAGE_ITEMS || size > 1_000_000) {
                hasMore = true;
                break;
            }
            size += item.value.length();
            rows.add(row(item));
        }
        return Web.Answer.json(200, Json.map("items", rows, "has-more", hasMore, "store-revision", revision));
    }

    private synchronized Web.Answer watch(String prefix, long after, long wait) throws InterruptedException {
        long until = System.nanoTime() + wait * 1_000_000;
        while (true) {
            List<Object> rows = new ArrayList<>();
            for (Event e : events) {
                if (e.revision > after && ((String) e.row.get("key")).startsWith(prefix)) rows.add(e.row);
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0) {
                return Web.Answer.json(200, Json.map("events", rows, "store-revision", revision));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Web.Answer commit(Map<String, Object> txn) {
        List<Object> expect = (List<Object>) txn.getOrDefault("expect", List.of());
        List<Object> writes = (List<Object>) txn.getOrDefault("writes", List.of());
        List<Object> remove = (List<Object>) txn.getOrDefault("remove", List.of());
        if (expect.size() + writes.size() + remove.size() > MAX_ENTRIES) return new Web.Answer(400, "{}");
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object o : expect) {
            Map<String, Object> e = (Map<String, Object>) o;
            Item item = items.get(Json.text(e, "key"));
            if (item != null) current.add(row(item));
            if ((item == null ? 0 : item.revision) != Json.number(e, "revision", 0)) holds = false;
        }
        if (!holds) return Web.Answer.json(412, Json.map("items", current));
        for (Object o : writes) {
            Map<String, Object> w = (Map<String, Object>) o;
            long lease = Json.number(w, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) return new Web.Answer(404, "{}");
            if (Json.text(w, "value").length() * 3L / 4 > valueBytes) return new Web.Answer(400, "{}");
        }
        revision++;
        for (Object o : writes) {
            Map<String, Object> w = (Map<String, Object>) o;
            set(Json.text(w, "key"), Json.text(w, "value"), Json.number(w, "lease", 0));
        }
        for (Object o : remove) delete((String) o);
        notifyAll();
        return Web.Answer.json(200, Json.map("revision", revision));
    }

    private void set(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created, lease);
        items.put(key, item);
        events.add(new Event(revision, row(item)));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            events.add(new Event(revision, Json.map("key", key, "revision", revision, "deleted", true)));
        }
    }

    private synchronized Web.Answer grant(long ttl) {
        Lease lease = new Lease();
        lease.ttl = Math.max(1_000, Math.min(600_000, ttl));
        lease.endsAt = Trace.millis() + lease.ttl;
        leases.put(++lastLease, lease);
        return Web.Answer.json(200, Json.map("lease", lastLease, "ttl-ms", lease.ttl));
    }

    private synchronized Web.Answer keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new Web.Answer(404, "{}");
        lease.endsAt = Trace.millis() + lease.ttl;
        return Web.Answer.json(200, Json.map("ttl-ms", lease.ttl));
    }

    private synchronized Web.Answer end(long id) {
        if (leases.remove(id) == null) return new Web.Answer(404, "{}");
        removeOf(id);
        return new Web.Answer(200, "{}");
    }

    private synchronized void expire() {
        long now = Trace.millis();
        List<Long> over = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.endsAt <= now) over.add(id);
        });
        for (long id : over) {
            leases.remove(id);
            removeOf(id);
        }
    }

    private void removeOf(long lease) {
        List<String> keys = items.values().stream().filter(i -> i.lease == lease).map(Item::key).toList();
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::delete);
        notifyAll();
    }
}
