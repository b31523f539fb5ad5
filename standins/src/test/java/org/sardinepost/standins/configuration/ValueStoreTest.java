package org.sardinepost.standins.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against watches that miss a write, which would look like a daemon that ignores the change. */
class ValueStoreTest {
    private final ValueStore store = new ValueStore();

    @Test
    void watchOfKnownRevisionWaitsForTheNextWrite() {
        long knownRevision = store.put("services", "one").revision();
        CompletableFuture<Value> watch = store.valueAfter("services", knownRevision);
        assertThat(watch.isDone()).isFalse();
        store.put("services", "two");
        assertThat(watch.join().content()).isEqualTo("two");
    }

    @Test
    void watchOfOlderRevisionCompletesImmediately() {
        store.put("services", "one");
        assertThat(store.valueAfter("services", 0).join().content()).isEqualTo("one");
    }

    @Test
    void writeDoesNotCompleteWatchesOfOtherValues() {
        CompletableFuture<Value> watch = store.valueAfter("services", 0);
        store.put("vms", "list");
        assertThat(watch.isDone()).isFalse();
    }
}
