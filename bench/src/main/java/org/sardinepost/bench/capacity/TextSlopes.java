package org.sardinepost.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.sardinepost.core.configuration.TextParts;
import org.sardinepost.core.text.ServicesTextReader;

/** Cost of a services text over its number of services. */
final class TextSlopes {
    private static final int[] SERVICES = {19, 76, 190};
    private static final String SIZE_UNIT = "services of 19 upstreams";

    private TextSlopes() {}

    static List<Slope> measure() {
        return List.of(
                slope("services text", "bytes", services -> bytes(SampleText.of(services, 1))),
                slope("read and check a text", "us", TextSlopes::readMicros),
                slope("memory of a checked text", "KiB", TextSlopes::memory),
                slope("cut a text into parts with digests", "us", TextSlopes::cutMicros),
                slope(
                        "digests of an offer",
                        "bytes",
                        services -> 32.0 * parts(services, 1).digests().size()),
                slope("sections sent for a change of one service", "bytes", TextSlopes::changeBytes),
                slope("assemble a text after a change of one service", "us", TextSlopes::assembleMicros));
    }

    private static Slope slope(String name, String unit, IntToDoubleFunction value) {
        return Slopes.over(name, SIZE_UNIT, unit, SERVICES, value);
    }

    private static double bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    private static TextParts parts(int services, long version) {
        return TextParts.of(SampleText.of(services, version));
    }

    private static double readMicros(int services) {
        String text = SampleText.of(services, 1);
        return Sampler.medianMicros(() -> ServicesTextReader.read("services.ini", text));
    }

    private static double memory(int services) {
        return Sampler.retainedKibibytes(() -> ServicesTextReader.read("services.ini", SampleText.of(services, 1)));
    }

    private static double cutMicros(int services) {
        String text = SampleText.of(services, 1);
        return Sampler.medianMicros(() -> TextParts.of(text));
    }

    private static List<String> changedSections(int services) {
        TextParts held = parts(services, 1);
        TextParts wanted = TextParts.of(SampleText.changed(services, 2));
        List<String> sections = new ArrayList<>();
        held.missing(wanted.digests())
                .forEach(digest -> sections.add(wanted.section(digest).orElseThrow()));
        return sections;
    }

    private static double changeBytes(int services) {
        return changedSections(services).stream().mapToDouble(TextSlopes::bytes).sum();
    }

    private static double assembleMicros(int services) {
        TextParts held = parts(services, 1);
        TextParts wanted = TextParts.of(SampleText.changed(services, 2));
        List<String> received = changedSections(services);
        return Sampler.medianMicros(() -> TextParts.assemble(wanted.digests(), held, received));
    }
}
