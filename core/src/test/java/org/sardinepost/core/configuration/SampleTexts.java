package org.sardinepost.core.configuration;

import org.sardinepost.core.text.ServicesTextReader;

/** Services texts for tests. */
final class SampleTexts {
    private SampleTexts() {}

    static String valid(long version, String note) {
        return "[text]\nversion = " + version + "\ndaemon-ceiling = 19\n" + service("booking", note);
    }

    static String invalid(long version) {
        return valid(version, "faulty") + "this line is no entry\n";
    }

    static String large(long version, int services, int noteLength, int changedService) {
        StringBuilder text = new StringBuilder("[text]\nversion = " + version + "\ndaemon-ceiling = 19\n");
        for (int index = 0; index < services; index++) {
            String note = index == changedService ? "version " + version : "unchanged";
            text.append(service("s" + index, note + " " + "x".repeat(noteLength)));
        }
        return text.toString();
    }

    static ValidatedText validated(CandidateText candidate) {
        return new TextValidator(content -> ServicesTextReader.read("test.ini", content)).validate(candidate);
    }

    private static String service(String name, String note) {
        return "[service " + name + "]\n# " + note + "\nexternal = true\nupstreams = 127.0.0.1:7001@brno-1\n";
    }
}
