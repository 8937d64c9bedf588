import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: items, leases, watches and transactions, as PROTOCOL.md describes them. */
final class Store {
    private static final int MAX_ENTRIES = 32;
    private static final int PAGE_ITEMS = 500;
    private static final int VALUE_BYTES = 1_048_576;
    private static final long ANSWER_MILLIS = 4;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(long revision, String key, Item item) {}

    private static final class Lease {
        final long ttl;
        long endsAt;

        Lease(long ttl, long now) {
            this.ttl = ttl;
            this.endsAt = now + ttl;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Record record;
    private long revision = 100;
    private long lastLease = 0;
    /** While the store is down, every call gets 503, nothing is done, and leases pause. */
    private long downSince = 0;
    final int port;

    Store(Record record) throws Exception {
        this.record = record;
        port = Http.serve(0, this::handle).getAddress().getPort();
        Thread t = new Thread(this::expireLeases);
        t.setDaemon(true);
        t.start();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized void setDown(boolean isDown) {
        long now = now();
        if (isDown) {
            downSince = now;
        } else {
            for (Lease l : leases.values()) l.endsAt += now - downSince;
            downSince = 0;
        }
        record.line("store " + (isDown ? "goes down: 503 to every call" : "is back"));
        notifyAll();
    }

    /** Writes [value] as the operator does. The acknowledgement is the return. */
    synchronized void put(String key, String value) {
        write(key, java.util.Base64.getEncoder().encodeToString(value.getBytes()), 0, ++revision);
        notifyAll();
    }

    private Http.Response handle(Http.Request r) throws Exception {
        Thread.sleep(ANSWER_MILLIS);
        synchronized (this) {
            if (downSince > 0) return Http.Response.json(503, Json.of());
            String lease = r.path().substring(r.path().lastIndexOf('/') + 1);
            if (r.path().equals("/v1/kv-key")) return get(r.query().get("key"));
            if (r.path().equals("/v1/kv-range")) return range(r.query().get("prefix"), r.query().get("after"));
            if (r.path().equals("/v1/kv-watch")) return watch(r.query());
            if (r.path().equals("/v1/kv-txn")) return commit(Json.object(r.body()));
            if (r.path().equals("/v1/kv-lease")) return grant(Json.object(r.body()));
            if (r.path().startsWith("/v1/kv-keep/")) return keep(Long.parseLong(lease));
            if (r.path().startsWith("/v1/kv-lease-end/")) return end(Long.parseLong(lease));
            return Http.Response.json(404, Json.of());
        }
    }

    private Map<String, Object> json(Item i) {
        return Json.of("key", i.key, "value", i.value, "revision", i.revision, "created-rev", i.created,
            "lease", i.lease);
    }

    private Http.Response get(String key) {
        Item i = items.get(key);
        if (i == null) return Http.Response.json(404, Json.of("store-revision", revision));
        Map<String, Object> body = json(i);
        body.put("store-revision", revision);
        return Http.Response.json(200, body);
    }

    private Http.Response range(String prefix, String after) {
        List<Object> page = new ArrayList<>();
        long bytes = 0;
        boolean hasMore = false;
        for (Item i : items.tailMap(prefix).values()) {
            if (!i.key.startsWith(prefix)) break;
            if (after != null && i.key.compareTo(after) <= 0) continue;
            if (page.size() == PAGE_ITEMS || bytes > VALUE_BYTES) {
                hasMore = true;
                break;
            }
            page.add(json(i));
            bytes += i.value.length();
        }
        return Http.Response.json(200, Json.of("items", page, "has-more", hasMore, "store-revision", revision));
    }

    private Http.Response watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long until = now() + Long.parseLong(query.getOrDefault("wait-ms", "0"));
        while (true) {
            List<Object> found = new ArrayList<>();
            for (int i = events.size() - 1; i >= 0 && events.get(i).revision > after; i--) {
                Event e = events.get(i);
                if (!e.key.startsWith(prefix)) continue;
                Map<String, Object> deleted = Json.of("key", e.key, "revision", e.revision, "deleted", true);
                found.add(0, e.item != null ? json(e.item) : deleted);
            }
            long left = until - now();
            if (!found.isEmpty() || left <= 0) {
                return Http.Response.json(200, Json.of("events", found, "store-revision", revision));
            }
            wait(left);
            if (downSince > 0) return Http.Response.json(503, Json.of());
        }
    }

    @SuppressWarnings("unchecked")
    private Http.Response commit(Map<String, Object> body) {
        List<Map<String, Object>> expect = (List<Map<String, Object>>) body.getOrDefault("expect", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        List<String> remove = (List<String>) body.getOrDefault("remove", List.of());
        if (expect.size() + writes.size() + remove.size() > MAX_ENTRIES) return Http.Response.json(400, Json.of());
        for (Map<String, Object> w : writes) {
            int bytes = Json.text(w, "value").length() / 4 * 3;
            if (bytes > VALUE_BYTES) {
                record.line("store rejects a value of " + bytes + " bytes for " + Json.text(w, "key"));
                return Http.Response.json(400, Json.of("reason", "value too large"));
            }
        }
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Map<String, Object> e : expect) {
            Item i = items.get(Json.text(e, "key"));
            if ((i == null ? 0 : i.revision) != Json.number(e, "revision", 0)) holds = false;
            if (i != null) current.add(json(i));
        }
        if (!holds) return Http.Response.json(412, Json.of("items", current, "store-revision", revision));
        for (Map<String, Object> w : writes) {
            long lease = Json.number(w, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) return Http.Response.json(404, Json.of());
        }
        long r = ++revision;
        for (Map<String, Object> w : writes) {
            write(Json.text(w, "key"), Json.text(w, "value"), Json.number(w, "lease", 0), r);
        }
        for (String key : remove) delete(key, r);
        notifyAll();
        return Http.Response.json(200, Json.of("revision", r));
    }

    private void write(String key, String value, long lease, long r) {
        Item old = items.get(key);
        Item i = new Item(key, value, r, old == null ? r : old.created, lease);
        items.put(key, i);
        events.add(new Event(r, key, i));
    }

    private void delete(String key, long r) {
        if (items.remove(key) != null) events.add(new Event(r, key, null));
    }

    private Http.Response grant(Map<String, Object> body) {
        long ttl = Json.number(body, "ttl-ms", 1_000);
        leases.put(++lastLease, new Lease(ttl, now()));
        return Http.Response.json(200, Json.of("lease", lastLease, "ttl-ms", ttl));
    }

    private Http.Response keep(long id) {
        Lease l = leases.get(id);
        if (l == null) return Http.Response.json(404, Json.of());
        l.endsAt = now() + l.ttl;
        return Http.Response.json(200, Json.of("lease", id, "ttl-ms", l.ttl));
    }

    private Http.Response end(long id) {
        if (leases.remove(id) == null) return Http.Response.json(404, Json.of());
        removeKeysOf(id);
        return Http.Response.json(200, Json.of());
    }

    private void removeKeysOf(long lease) {
        List<String> keys = new ArrayList<>();
        for (Item i : items.values()) if (i.lease == lease) keys.add(i.key);
        if (keys.isEmpty()) return;
        long r = ++revision;
        for (String key : keys) delete(key, r);
        notifyAll();
    }

    private void expireLeases() {
        try {
            while (true) {
                Thread.sleep(20);
                synchronized (this) {
                    if (downSince > 0) continue;
                    List<Long> expired = new ArrayList<>();
                    leases.forEach((id, l) -> {
                        if (l.endsAt <= now()) expired.add(id);
                    });
                    for (Long id : expired) {
                        leases.remove(id);
                        removeKeysOf(id);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }
}
