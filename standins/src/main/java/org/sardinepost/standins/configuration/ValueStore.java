package org.sardinepost.standins.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Stores values by name. Each write increments the revision and completes the watches of the value. */
public final class ValueStore {
    private final Map<String, Value> values = new HashMap<>();
    private final Map<String, CompletableFuture<Value>> watches = new HashMap<>();
    private long revision;

    public Value put(String name, String content) {
        Value value;
        CompletableFuture<Value> watch;
        synchronized (this) {
            revision++;
            value = new Value(revision, content);
            values.put(name, value);
            watch = watches.remove(name);
        }
        if (watch != null) {
            watch.complete(value);
        }
        return value;
    }

    public synchronized Optional<Value> get(String name) {
        return Optional.ofNullable(values.get(name));
    }

    /** Returns a future that completes with the value once its revision is greater than the given one. */
    public synchronized CompletableFuture<Value> valueAfter(String name, long knownRevision) {
        Value value = values.get(name);
        if (value != null && value.revision() > knownRevision) {
            return CompletableFuture.completedFuture(value);
        }
        return watches.computeIfAbsent(name, unused -> new CompletableFuture<>());
    }
}
