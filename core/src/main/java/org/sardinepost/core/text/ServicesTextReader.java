package org.sardinepost.core.text;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.sardinepost.core.ini.Checked;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniParser;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** Reads a services text: either the whole text is good, or every fault of it is reported. */
public final class ServicesTextReader {
    private static final String SERVICE_PREFIX = "service ";
    private static final int DEFAULT_DAEMON_CEILING = 19;

    private ServicesTextReader() {}

    public static Checked<ServicesText> read(String file, String content) {
        List<Finding> faults = new ArrayList<>();
        IniDocument document = IniParser.parse(file, content, faults);
        List<Service> services = document.sections().stream()
                .filter(section -> section.name().startsWith(SERVICE_PREFIX))
                .map(ServicesTextReader::service)
                .toList();
        Optional<IniSection> text = document.section("text");
        long version = text.flatMap(section -> section.value("version"))
                .map(Long::parseLong)
                .orElse(0L);
        int ceiling = text.flatMap(section -> section.value("daemon-ceiling"))
                .map(Integer::parseInt)
                .orElse(DEFAULT_DAEMON_CEILING);
        return faults.isEmpty() ? Checked.good(new ServicesText(version, ceiling, services)) : Checked.faulty(faults);
    }

    private static Service service(IniSection section) {
        Service.Builder builder = Service.builder(
                section.name().substring(SERVICE_PREFIX.length()).trim());
        section.value("external").map(Boolean::parseBoolean).ifPresent(builder::external);
        section.value("hosts").map(ServicesTextReader::list).ifPresent(builder::hosts);
        section.value("depends-on").map(ServicesTextReader::list).ifPresent(builder::dependsOn);
        section.value("upstreams")
                .map(value -> list(value).stream()
                        .map(ServicesTextReader::upstream)
                        .flatMap(Optional::stream)
                        .toList())
                .ifPresent(builder::upstreams);
        return builder.build();
    }

    private static Optional<Upstream> upstream(String value) {
        int at = value.indexOf('@');
        String address = at < 0 ? value : value.substring(0, at);
        String failureDomain = at < 0 ? "" : value.substring(at + 1);
        return UpstreamId.parse(address).map(id -> new Upstream(id, failureDomain));
    }

    private static List<String> list(String value) {
        return Arrays.stream(value.split(",", -1))
                .map(String::trim)
                .filter(item -> !item.isEmpty())
                .toList();
    }
}
