package org.sardinepost.bench.capacity;

import java.util.Arrays;
import java.util.function.Supplier;

/** Measures time and retained memory of small operations. */
final class Sampler {
    private static final long WARM_UP_NANOS = 400_000_000;
    /** A sample repeats the work for at least this long, so that the clock's own cost does not show. */
    private static final long SAMPLE_NANOS = 2_000_000;

    private static final int SAMPLES = 41;
    private static final int COLLECTIONS = 4;

    /** Results are kept here, so that the compiler cannot remove the measured work. */
    @SuppressWarnings("unused")
    private static volatile Object sink;

    private Sampler() {}

    /** The median time of one run, in microseconds. */
    static double medianMicros(Supplier<?> work) {
        int runsPerSample = warmUp(work);
        double[] micros = new double[SAMPLES];
        for (int sample = 0; sample < SAMPLES; sample++) {
            long start = System.nanoTime();
            for (int run = 0; run < runsPerSample; run++) {
                sink = work.get();
            }
            micros[sample] = (System.nanoTime() - start) / 1e3 / runsPerSample;
        }
        Arrays.sort(micros);
        return micros[SAMPLES / 2];
    }

    /** Runs the work until it is compiled; the number of runs that fill one sample. */
    private static int warmUp(Supplier<?> work) {
        long start = System.nanoTime();
        long runs = 0;
        while (System.nanoTime() - start < WARM_UP_NANOS) {
            sink = work.get();
            runs++;
        }
        return (int) (runs * SAMPLE_NANOS / WARM_UP_NANOS) + 1;
    }

    /** Heap that the built object retains, in KiB. */
    static double retainedKibibytes(Supplier<?> builder) {
        sink = builder.get();
        sink = null;
        long before = usedBytes();
        Object kept = builder.get();
        long after = usedBytes();
        sink = kept;
        return (after - before) / 1024.0;
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
