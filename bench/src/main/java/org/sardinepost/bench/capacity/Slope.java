package org.sardinepost.bench.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A cost measured at several sizes.
 *
 * @param name what is measured
 * @param sizeUnit what the size counts
 * @param valueUnit unit of the values
 * @param measurements the values, smallest size first
 */
public record Slope(String name, String sizeUnit, String valueUnit, List<Measurement> measurements) {
    private static final int FEWEST_SIZES = 3;

    public Slope {
        measurements = List.copyOf(measurements);
        if (measurements.size() < FEWEST_SIZES) {
            throw new IllegalArgumentException(
                    "a slope needs at least " + FEWEST_SIZES + " sizes; add more to " + name);
        }
    }

    /** Increase per unit of size, by least squares. */
    public double perUnit() {
        double meanSize = meanSize();
        double meanValue = meanValue();
        double covariance = 0;
        double variance = 0;
        for (Measurement measurement : measurements) {
            double distance = measurement.size() - meanSize;
            covariance += distance * (measurement.value() - meanValue);
            variance += distance * distance;
        }
        return covariance / variance;
    }

    /** The value at size zero, by least squares. */
    public double fixed() {
        return meanValue() - perUnit() * meanSize();
    }

    private double meanSize() {
        return measurements.stream().mapToInt(Measurement::size).average().orElseThrow();
    }

    private double meanValue() {
        return measurements.stream().mapToDouble(Measurement::value).average().orElseThrow();
    }

    /** A row of a Markdown table. */
    public String row() {
        String values = measurements.stream()
                .map(measurement -> String.format(Locale.ROOT, "%d: %.4g", measurement.size(), measurement.value()))
                .collect(Collectors.joining("; "));
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s | %.4g | %.4g |",
                name,
                sizeUnit,
                valueUnit,
                values,
                fixed(),
                perUnit());
    }
}
