package org.sardinepost.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts messages and bytes by kind of message, and faults. Thread-safe.
 *
 * <p>Bytes are those of the encoded messages, without length prefixes and TCP/IP headers.
 */
public final class PeerCounters {
    private final Map<MessageKind, LongAdder> sentMessages = createCounters(MessageKind.class);
    private final Map<MessageKind, LongAdder> sentBytes = createCounters(MessageKind.class);
    private final Map<MessageKind, LongAdder> receivedMessages = createCounters(MessageKind.class);
    private final Map<MessageKind, LongAdder> receivedBytes = createCounters(MessageKind.class);
    private final Map<PeerFault, LongAdder> faults = createCounters(PeerFault.class);

    public long sentMessages(MessageKind kind) {
        return sentMessages.get(kind).sum();
    }

    public long sentBytes(MessageKind kind) {
        return sentBytes.get(kind).sum();
    }

    public long receivedMessages(MessageKind kind) {
        return receivedMessages.get(kind).sum();
    }

    public long receivedBytes(MessageKind kind) {
        return receivedBytes.get(kind).sum();
    }

    public long faults(PeerFault fault) {
        return faults.get(fault).sum();
    }

    void recordSent(MessageKind kind, int bytes) {
        sentMessages.get(kind).increment();
        sentBytes.get(kind).add(bytes);
    }

    void recordReceived(MessageKind kind, int bytes) {
        receivedMessages.get(kind).increment();
        receivedBytes.get(kind).add(bytes);
    }

    void recordFault(PeerFault fault) {
        faults.get(fault).increment();
    }

    private static <E extends Enum<E>> Map<E, LongAdder> createCounters(Class<E> type) {
        Map<E, LongAdder> counters = new EnumMap<>(type);
        for (E constant : type.getEnumConstants()) {
            counters.put(constant, new LongAdder());
        }
        return counters;
    }
}
