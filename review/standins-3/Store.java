import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store. Each process has a port of its own to the same store. */
final class Store {
    /** Decides on a call before it is executed: null executes it, a reply is sent instead of executing it. */
    interface Fault {
        Decision decide(String caller, Http.Call call);
    }

    /** What happens to a call instead of its execution and response. */
    record Decision(Http.Reply reply, boolean isAnswered, long executeAfterMillis) {
        /** The call is rejected and nothing is done. */
        static Decision reject(int status) {
            return new Decision(Http.Reply.of(status), true, -1);
        }

        /** The call gets no response and is executed [millis] after its arrival, if its condition still holds. */
        static Decision late(long millis) {
            return new Decision(null, false, millis);
        }
    }

    private record Item(byte[] value, long revision, long created, long lease) {
    }

    private record Event(long revision, String key, byte[] value) {
    }

    private static final int PAGE = 500;

    /** `value-bytes` of the settings. A larger value is refused and nothing is done. */
    static final int VALUE_BYTES = 1_048_576;

    private final Map<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 10;
    private long lastLease = 1;

    /** Writes that were refused since a value was too large. */
    volatile long refusedValues;

    volatile Fault fault = (caller, call) -> null;

    Store() {
        Thread t = new Thread(() -> {
            while (true) {
                synchronized (this) {
                    expire();
                }
                sleep(50);
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** Opens a port for [caller]; returns it. */
    int open(String caller) throws IOException {
        return Http.serve(0, call -> {
            sleep(4);
            Decision d = fault.decide(caller, call);
            if (d == null) return execute(call);
            if (d.isAnswered()) return d.reply();
            sleep(d.executeAfterMillis());
            execute(call);
            return null;
        }).getAddress().getPort();
    }

    /** Writes [key] as the operator. */
    synchronized long put(String key, String value) {
        write(key, value.getBytes(), 0, ++revision);
        notifyAll();
        return revision;
    }

    private Http.Reply execute(Http.Call c) throws InterruptedException {
        String path = c.path();
        if (path.equals("/v1/kv-watch")) return watch(c);
        synchronized (this) {
            expire();
            if (path.equals("/v1/kv-key")) return get(c);
            if (path.equals("/v1/kv-range")) return range(c);
            if (path.equals("/v1/kv-txn")) return commit(Json.object(c.body()));
            if (path.equals("/v1/kv-lease")) return grant(Json.object(c.body()));
            if (path.startsWith("/v1/kv-keep/")) return keep(Long.parseLong(path.substring(12)));
            if (path.startsWith("/v1/kv-lease-end/")) return end(Long.parseLong(path.substring(17)));
        }
        return Http.Reply.of(400);
    }

    private Http.Reply get(Http.Call c) {
        String key = c.query().get("key");
        Item i = items.get(key);
        if (i == null) return new Http.Reply(404, Json.write(Json.of("store-revision", revision)));
        Map<String, Object> row = row(key, i);
        row.put("store-revision", revision);
        return Http.Reply.ok(row);
    }

    private Http.Reply range(Http.Call c) {
        String prefix = c.query().get("prefix");
        String after = c.query().getOrDefault("after", "");
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Item> e : items.entrySet()) {
            if (!e.getKey().startsWith(prefix) || e.getKey().compareTo(after) <= 0) continue;
            if (rows.size() == PAGE) {
                more = true;
                break;
            }
            rows.add(row(e.getKey(), e.getValue()));
        }
        return Http.Reply.ok(Json.of("items", rows, "has-more", more, "store-revision", revision));
    }

    private Http.Reply watch(Http.Call c) throws InterruptedException {
        String prefix = c.query().get("prefix");
        long after = Long.parseLong(c.query().get("after"));
        long until = System.nanoTime() + Long.parseLong(c.query().get("wait-ms")) * 1_000_000;
        synchronized (this) {
            while (true) {
                List<Object> rows = new ArrayList<>();
                for (Event e : events) {
                    if (e.revision() <= after || !e.key().startsWith(prefix)) continue;
                    rows.add(e.value() == null
                        ? Json.of("key", e.key(), "revision", e.revision(), "deleted", true)
                        : Json.of("key", e.key(), "value", encode(e.value()), "revision", e.revision()));
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                if (!rows.isEmpty() || left <= 0) {
                    return Http.Reply.ok(Json.of("events", rows, "store-revision", revision));
                }
                wait(left);
            }
        }
    }

    private Http.Reply commit(Map<String, Object> txn) {
        List<Map<String, Object>> expect = Json.rows(txn, "expect");
        List<Map<String, Object>> writes = Json.rows(txn, "writes");
        List<?> remove = txn.get("remove") instanceof List<?> l ? l : List.of();
        if (expect.size() + writes.size() + remove.size() > 32) return Http.Reply.of(400);
        boolean holds = expect.stream().allMatch(e -> {
            Item i = items.get(Json.string(e, "key"));
            return (i == null ? 0 : i.revision()) == Json.number(e, "revision", 0);
        });
        if (!holds) {
            List<Object> rows = new ArrayList<>();
            for (Map<String, Object> e : expect) {
                Item i = items.get(Json.string(e, "key"));
                if (i != null) rows.add(row(Json.string(e, "key"), i));
            }
            return new Http.Reply(412, Json.write(Json.of("items", rows)));
        }
        for (Map<String, Object> w : writes) {
            long lease = Json.number(w, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) return Http.Reply.of(404);
            if (Base64.getDecoder().decode(Json.string(w, "value")).length > VALUE_BYTES) {
                refusedValues++;
                return Http.Reply.of(400);
            }
        }
        revision++;
        for (Map<String, Object> w : writes) {
            byte[] value = Base64.getDecoder().decode(Json.string(w, "value"));
            write(Json.string(w, "key"), value, Json.number(w, "lease", 0), revision);
        }
        for (Object key : remove) remove((String) key);
        notifyAll();
        return Http.Reply.ok(Json.of("revision", revision));
    }

    private Http.Reply grant(Map<String, Object> body) {
        long ttl = Math.max(1_000, Json.number(body, "ttl-ms", 0));
        leases.put(++lastLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
        return Http.Reply.ok(Json.of("lease", lastLease, "ttl-ms", ttl));
    }

    private Http.Reply keep(long id) {
        long[] lease = leases.get(id);
        if (lease == null) return Http.Reply.of(404);
        lease[1] = System.nanoTime() + lease[0] * 1_000_000;
        return Http.Reply.ok(Json.of("lease", id, "ttl-ms", lease[0]));
    }

    private Http.Reply end(long id) {
        if (leases.remove(id) == null) return Http.Reply.of(404);
        removeKeysOf(id);
        return Http.Reply.of(200);
    }

    private void expire() {
        long now = System.nanoTime();
        for (long id : leases.keySet().stream().filter(l -> leases.get(l)[1] < now).toList()) {
            leases.remove(id);
            removeKeysOf(id);
        }
    }

    private void removeKeysOf(long lease) {
        List<String> keys = items.entrySet().stream().filter(e -> e.getValue().lease() == lease)
            .map(Map.Entry::getKey).toList();
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::remove);
        notifyAll();
    }

    private void write(String key, byte[] value, long lease, long at) {
        Item old = items.get(key);
        items.put(key, new Item(value, at, old == null ? at : old.created(), lease));
        record(new Event(at, key, value));
    }

    private void remove(String key) {
        if (items.remove(key) != null) record(new Event(revision, key, null));
    }

    /** Keeps the history of the keys that somebody watches. */
    private void record(Event e) {
        if (!e.key().contains("/progress/")) events.add(e);
    }

    private static Map<String, Object> row(String key, Item i) {
        return Json.of("key", key, "value", encode(i.value()), "revision", i.revision(), "created-rev", i.created(),
            "lease", i.lease());
    }

    private static String encode(byte[] value) {
        return Base64.getEncoder().encodeToString(value);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
