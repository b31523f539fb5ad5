package org.sardinepost.standins.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Values by name. Each write takes the next revision, and waiting readers are told. */
public final class ValueStore {
    private final Map<String, Value> values = new HashMap<>();
    private final Map<String, CompletableFuture<Value>> nextWrite = new HashMap<>();
    private long revision;

    public Value put(String name, String content) {
        Value value;
        CompletableFuture<Value> waiting;
        synchronized (this) {
            revision++;
            value = new Value(revision, content);
            values.put(name, value);
            waiting = nextWrite.remove(name);
        }
        if (waiting != null) {
            waiting.complete(value);
        }
        return value;
    }

    public synchronized Optional<Value> get(String name) {
        return Optional.ofNullable(values.get(name));
    }

    /** The value once its revision is above the given one. */
    public synchronized CompletableFuture<Value> after(String name, long known) {
        Value value = values.get(name);
        if (value != null && value.revision() > known) {
            return CompletableFuture.completedFuture(value);
        }
        return nextWrite.computeIfAbsent(name, unused -> new CompletableFuture<>());
    }
}
