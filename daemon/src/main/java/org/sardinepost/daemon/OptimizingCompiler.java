package org.sardinepost.daemon;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.management.JMException;
import javax.management.ObjectName;
import org.sardinepost.daemon.log.LogEvent;

/**
 * The optimizing compiler of the JVM, whose memory no limit of the daemon counts.
 *
 * <p>The load that it is for: clients that make a daemon with a small heap run much of its code within seconds. Several
 * compiler threads then work at once, each with up to some tens of MB.
 */
final class OptimizingCompiler {
    /** Peaks of 27 to 59 MB were measured for the compilers of a daemon, which is little beside a larger heap. */
    private static final long SMALL_HEAP_BYTES = 128L << 20;

    /** What {@code java.vm.info} contains where the optimizing compiler is on. */
    private static final String COMPILED = "mixed mode";
    /** What it contains in addition with {@code -XX:TieredStopAtLevel=1}. */
    private static final String FIRST_COMPILER_ONLY = "emulated-client";

    private static final String DIRECTIVES = "[{match: \"*.*\", c2: {Exclude: true}}]";

    private OptimizingCompiler() {}

    /** Leaves all methods to the first compiler if the heap is small. */
    static void disableInSmallHeap() {
        if (runsIn(System.getProperty("java.vm.info", ""), Runtime.getRuntime().maxMemory())) {
            disable();
        }
    }

    /** Returns whether a JVM with a small heap uses the optimizing compiler. */
    static boolean runsIn(String vmInfo, long maxHeapBytes) {
        return maxHeapBytes < SMALL_HEAP_BYTES && vmInfo.contains(COMPILED) && !vmInfo.contains(FIRST_COMPILER_ONLY);
    }

    private static void disable() {
        try {
            Path file = Files.createTempFile("sardinepostd", ".json");
            try {
                Files.writeString(file, DIRECTIVES);
                ManagementFactory.getPlatformMBeanServer()
                        .invoke(
                                new ObjectName("com.sun.management:type=DiagnosticCommand"),
                                "compilerDirectivesAdd",
                                new Object[] {new String[] {file.toString()}},
                                new String[] {String[].class.getName()});
            } finally {
                Files.delete(file);
            }
            LogEvent.OPTIMIZING_COMPILER_OFF.info(SMALL_HEAP_BYTES >> 20);
        } catch (IOException | JMException | RuntimeException e) {
            LogEvent.OPTIMIZING_COMPILER_ON.warn(e);
        }
    }
}
