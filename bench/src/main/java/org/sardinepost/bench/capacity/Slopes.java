package org.sardinepost.bench.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/** Builds slopes from a function of the size. */
final class Slopes {
    private Slopes() {}

    static Slope over(String name, String sizeUnit, String valueUnit, int[] sizes, IntToDoubleFunction value) {
        List<Measurement> measurements = Arrays.stream(sizes)
                .mapToObj(size -> new Measurement(size, value.applyAsDouble(size)))
                .toList();
        return new Slope(name, sizeUnit, valueUnit, measurements);
    }
}
