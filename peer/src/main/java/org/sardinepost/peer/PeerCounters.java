package org.sardinepost.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts messages and bytes by kind, and faults. Bytes are frame bytes without TCP/IP headers. Thread-safe. */
public final class PeerCounters {
    private final Map<MessageKind, LongAdder> sentMessages = adders(MessageKind.class);
    private final Map<MessageKind, LongAdder> sentBytes = adders(MessageKind.class);
    private final Map<MessageKind, LongAdder> receivedMessages = adders(MessageKind.class);
    private final Map<MessageKind, LongAdder> receivedBytes = adders(MessageKind.class);
    private final Map<PeerFault, LongAdder> faults = adders(PeerFault.class);

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

    void sent(MessageKind kind, int bytes) {
        sentMessages.get(kind).increment();
        sentBytes.get(kind).add(bytes);
    }

    void received(MessageKind kind, int bytes) {
        receivedMessages.get(kind).increment();
        receivedBytes.get(kind).add(bytes);
    }

    void failed(PeerFault fault) {
        faults.get(fault).increment();
    }

    private static <E extends Enum<E>> Map<E, LongAdder> adders(Class<E> type) {
        Map<E, LongAdder> adders = new EnumMap<>(type);
        for (E constant : type.getEnumConstants()) {
            adders.put(constant, new LongAdder());
        }
        return adders;
    }
}
