package org.sardinepost.bench.capacity;

import java.util.Arrays;
import java.util.function.Supplier;

/** Measures the execution time and the retained heap of small operations. */
final class MicroBenchmark {
    private static final long WARM_UP_NANOS = 400_000_000;
    /** A sample repeats the operation for at least this long, so that the cost of reading the clock is negligible. */
    private static final long MIN_SAMPLE_NANOS = 2_000_000;

    private static final int SAMPLE_COUNT = 41;
    private static final int GC_RUNS = 4;

    /** Stores the results, so that the JIT compiler cannot eliminate the measured operation as dead code. */
    @SuppressWarnings("unused")
    private static volatile Object sink;

    private MicroBenchmark() {}

    /** Returns the median time of one execution in microseconds. */
    static double medianMicros(Supplier<?> operation) {
        int runsPerSample = warmUp(operation);
        double[] micros = new double[SAMPLE_COUNT];
        for (int sample = 0; sample < SAMPLE_COUNT; sample++) {
            long start = System.nanoTime();
            for (int run = 0; run < runsPerSample; run++) {
                sink = operation.get();
            }
            micros[sample] = (System.nanoTime() - start) / 1e3 / runsPerSample;
        }
        Arrays.sort(micros);
        return micros[SAMPLE_COUNT / 2];
    }

    /** Runs the operation until it has been compiled and returns the number of executions for one sample. */
    private static int warmUp(Supplier<?> operation) {
        long start = System.nanoTime();
        long runs = 0;
        while (System.nanoTime() - start < WARM_UP_NANOS) {
            sink = operation.get();
            runs++;
        }
        return (int) (runs * MIN_SAMPLE_NANOS / WARM_UP_NANOS) + 1;
    }

    /** Returns the heap that the created object retains, in KiB. */
    static double retainedKibibytes(Supplier<?> factory) {
        sink = factory.get();
        sink = null;
        long bytesBefore = usedHeapBytes();
        Object retained = factory.get();
        long bytesAfter = usedHeapBytes();
        sink = retained;
        return (bytesAfter - bytesBefore) / 1024.0;
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
