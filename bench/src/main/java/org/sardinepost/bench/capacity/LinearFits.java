package org.sardinepost.bench.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/** Creates linear fits by measuring a cost function at several sizes. */
final class LinearFits {
    private LinearFits() {}

    static LinearFit measureCost(
            String name, String sizeUnit, String valueUnit, int[] sizes, IntToDoubleFunction cost) {
        List<Measurement> measurements = Arrays.stream(sizes)
                .mapToObj(size -> new Measurement(size, cost.applyAsDouble(size)))
                .toList();
        return new LinearFit(name, sizeUnit, valueUnit, measurements);
    }
}
