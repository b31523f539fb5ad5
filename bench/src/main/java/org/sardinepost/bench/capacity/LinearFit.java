package org.sardinepost.bench.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A least-squares fit of a cost over the input size.
 *
 * @param name name of the measured cost
 * @param sizeUnit unit of the input size
 * @param valueUnit unit of the measured values
 * @param measurements the measured values in ascending order of size
 */
public record LinearFit(String name, String sizeUnit, String valueUnit, List<Measurement> measurements) {
    private static final int MIN_MEASUREMENTS = 3;

    public LinearFit {
        measurements = List.copyOf(measurements);
        if (measurements.size() < MIN_MEASUREMENTS) {
            throw new IllegalArgumentException(
                    "a linear fit needs at least " + MIN_MEASUREMENTS + " measurements; add sizes to " + name);
        }
    }

    /** Returns the cost per unit of size. */
    public double slope() {
        double meanSize = meanSize();
        double meanValue = meanValue();
        double covariance = 0;
        double variance = 0;
        for (Measurement measurement : measurements) {
            double deviation = measurement.size() - meanSize;
            covariance += deviation * (measurement.value() - meanValue);
            variance += deviation * deviation;
        }
        return covariance / variance;
    }

    /** Returns the fixed cost, that is, the fitted value at size zero. */
    public double intercept() {
        return meanValue() - slope() * meanSize();
    }

    private double meanSize() {
        return measurements.stream().mapToInt(Measurement::size).average().orElseThrow();
    }

    private double meanValue() {
        return measurements.stream().mapToDouble(Measurement::value).average().orElseThrow();
    }

    /** Formats the measurements and the fit as a row of a Markdown table. */
    public String toMarkdownRow() {
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
                intercept(),
                slope());
    }
}
