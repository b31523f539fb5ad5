package org.sardinepost.daemon;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.LongSupplier;

/**
 * Decides whether a further connection of a caller leaves enough descriptors for everything else that the process opens.
 *
 * <p>A process without a free descriptor cannot load a class from its files either, so that calls fail at any place with an
 * error. The load that it is for: clients that open and close connections faster than the process handles them, so that
 * accepted connections wait and the limit on open connections does not hold. Not thread-safe.
 */
final class DescriptorReserve {
    /** Connections to upstreams open without a check, so the number of descriptors is read again after this time. */
    private static final long VALID_NANOS = 20_000_000;

    private final long usable;
    private final LongSupplier openDescriptors;
    private final LongSupplier nanoClock;
    private long permitted;
    private long readNanos;

    /**
     * Creates a reserve.
     *
     * @param usable the number of open descriptors from which no connection is permitted
     * @param openDescriptors reads the number of open descriptors
     */
    DescriptorReserve(long usable, LongSupplier openDescriptors, LongSupplier nanoClock) {
        this.usable = usable;
        this.openDescriptors = openDescriptors;
        this.nanoClock = nanoClock;
    }

    /** Creates a reserve of the descriptors of this process, which never refuses where their number is unknown. */
    static DescriptorReserve ofProcess(double share) {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            long usable = (long) ((1 - share) * system.getMaxFileDescriptorCount());
            return new DescriptorReserve(usable, system::getOpenFileDescriptorCount, System::nanoTime);
        }
        return new DescriptorReserve(Long.MAX_VALUE, () -> 0, System::nanoTime);
    }

    /** Returns whether another connection is permitted, and counts it if so. */
    boolean tryAcquire() {
        long now = nanoClock.getAsLong();
        if (permitted == 0 || now - readNanos > VALID_NANOS) {
            permitted = Math.max(0, usable - openDescriptors.getAsLong());
            readNanos = now;
        }
        if (permitted == 0) {
            return false;
        }
        permitted--;
        return true;
    }
}
