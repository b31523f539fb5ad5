package org.sardinepost.core.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sardinepost.core.ini.Checked;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniParser;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.routing.UpstreamId;

/** Reads the settings of a daemon: either all are good, or every fault is reported. */
public final class DaemonSettingsReader {
    private DaemonSettingsReader() {}

    public static Checked<DaemonSettings> read(String file, String content) {
        List<Finding> faults = new ArrayList<>();
        IniDocument document = IniParser.parse(file, content, faults);
        IniSection daemon = document.section("daemon").orElse(new IniSection("daemon", 1, List.of()));
        DaemonSettings.Builder builder = DaemonSettings.builder()
                .failureDomain(daemon.value("failure-domain").orElse(""))
                .region(daemon.value("region").orElse(""));
        address(daemon, "caller-address", file, faults).ifPresent(builder::callerAddress);
        address(daemon, "admin-address", file, faults).ifPresent(builder::adminAddress);
        address(daemon, "peer-address", file, faults).ifPresent(builder::peerAddress);
        document.section("configuration")
                .flatMap(section -> section.value("file"))
                .map(Source::file)
                .ifPresentOrElse(
                        builder::configuration,
                        () -> faults.add(new Finding(
                                file, 1, "[configuration] file", "the key is missing", "name the services text")));
        return faults.isEmpty() ? Checked.good(builder.build()) : Checked.faulty(faults);
    }

    private static Optional<UpstreamId> address(IniSection section, String key, String file, List<Finding> faults) {
        Optional<UpstreamId> address = section.value(key).flatMap(UpstreamId::parse);
        if (address.isEmpty()) {
            faults.add(new Finding(
                    file,
                    section.line(),
                    "[daemon] " + key,
                    "no valid address",
                    "write IP:PORT, for example 10.0.0.5:8080"));
        }
        return address;
    }
}
