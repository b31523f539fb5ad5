package org.sardinepost.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.sardinepost.core.configuration.TextParts;
import org.sardinepost.core.text.ServicesTextReader;

/** Measures the cost of processing a services text against its number of services. */
final class ServicesTextCosts {
    private static final int[] SERVICE_COUNTS = {19, 76, 190};
    private static final String SIZE_UNIT = "services of 19 upstreams";

    private ServicesTextCosts() {}

    static List<LinearFit> measure() {
        return List.of(
                fit("services text", "bytes", services -> utf8Length(SampleText.of(services, 1))),
                fit("read and check a text", "us", ServicesTextCosts::readMicros),
                fit("memory of a checked text", "KiB", ServicesTextCosts::parsedTextKibibytes),
                fit("cut a text into parts with digests", "us", ServicesTextCosts::splitMicros),
                fit(
                        "digests of an offer",
                        "bytes",
                        services -> 32.0 * parts(services, 1).digests().size()),
                fit("sections sent for a change of one service", "bytes", ServicesTextCosts::changedSectionsBytes),
                fit("assemble a text after a change of one service", "us", ServicesTextCosts::assembleMicros));
    }

    private static LinearFit fit(String name, String unit, IntToDoubleFunction cost) {
        return LinearFits.measureCost(name, SIZE_UNIT, unit, SERVICE_COUNTS, cost);
    }

    private static double utf8Length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    private static TextParts parts(int services, long version) {
        return TextParts.of(SampleText.of(services, version));
    }

    private static double readMicros(int services) {
        String text = SampleText.of(services, 1);
        return MicroBenchmark.medianMicros(() -> ServicesTextReader.read("services.ini", text));
    }

    private static double parsedTextKibibytes(int services) {
        return MicroBenchmark.retainedKibibytes(
                () -> ServicesTextReader.read("services.ini", SampleText.of(services, 1)));
    }

    private static double splitMicros(int services) {
        String text = SampleText.of(services, 1);
        return MicroBenchmark.medianMicros(() -> TextParts.of(text));
    }

    private static List<String> changedSections(int services) {
        TextParts current = parts(services, 1);
        TextParts target = TextParts.of(SampleText.withChangedDeadline(services, 2));
        List<String> sections = new ArrayList<>();
        current.missing(target.digests())
                .forEach(digest -> sections.add(target.section(digest).orElseThrow()));
        return sections;
    }

    private static double changedSectionsBytes(int services) {
        return changedSections(services).stream()
                .mapToDouble(ServicesTextCosts::utf8Length)
                .sum();
    }

    private static double assembleMicros(int services) {
        TextParts current = parts(services, 1);
        TextParts target = TextParts.of(SampleText.withChangedDeadline(services, 2));
        List<String> received = changedSections(services);
        return MicroBenchmark.medianMicros(() -> TextParts.assemble(target.digests(), current, received));
    }
}
