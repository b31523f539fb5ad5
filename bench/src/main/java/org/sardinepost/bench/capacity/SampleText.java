package org.sardinepost.bench.capacity;

/** Generates services texts of a given size. The design target is 190 services with 19 upstreams each. */
final class SampleText {
    static final int UPSTREAMS_PER_SERVICE = 19;

    private SampleText() {}

    static String of(int services, long version) {
        StringBuilder text = new StringBuilder();
        text.append("[text]\nversion = ").append(version).append("\ndaemon-ceiling = 120\n");
        for (int service = 0; service < services; service++) {
            appendService(text, service);
        }
        return text.toString();
    }

    /** Returns the text of {@link #of} with one key of one service changed. */
    static String withChangedDeadline(int services, long version) {
        return of(services, version).replaceFirst("deadline = 2s", "deadline = 3s");
    }

    private static void appendService(StringBuilder text, int service) {
        text.append("[service service-").append(service).append("]\nexternal = true\ndeadline = 2s\nslots = 3\n");
        if (service > 0) {
            text.append("depends-on = service-").append(service - 1).append('\n');
        }
        text.append("upstreams = ");
        for (int i = 0; i < UPSTREAMS_PER_SERVICE; i++) {
            text.append(i == 0 ? "" : ", ");
            text.append("10.")
                    .append(service)
                    .append(".0.")
                    .append(i + 1)
                    .append(":8080@domain-")
                    .append(i);
        }
        text.append('\n');
    }
}
