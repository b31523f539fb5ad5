package org.sardinepost.core.membership;

import java.util.Set;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.ValidatingReader;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.ini.ValueCache;
import org.sardinepost.core.ini.values.Address;
import org.sardinepost.core.routing.UpstreamId;

/** Parses a VM list and returns either the list or all its errors. */
public final class VmListReader {
    private static final Address ADDRESS = new Address();

    private VmListReader() {}

    public static ValidationResult<VmList> read(String file, String content) {
        return read(file, content, new ValueCache());
    }

    /** Reads one of successive VM lists and reuses the sections that are unchanged since the previous call. */
    public static ValidationResult<VmList> read(String file, String content, ValueCache cache) {
        return ValidatingReader.read(file, content, VmListFormat.RULES, VmListReader::toVmList, cache);
    }

    private static VmList toVmList(IniDocument document) {
        return new VmList(
                document.sections(VmKeys.SECTION).stream()
                        .map(VmListReader::toVm)
                        .toList(),
                evacuatedDomains(document));
    }

    private static Set<String> evacuatedDomains(IniDocument document) {
        return document.sections(FailureDomainKeys.SECTION).stream()
                .filter(section -> FailureDomainKeys.STATE.read(section) == FailureDomainState.EVACUATED)
                .map(FailureDomainKeys.SECTION::nameOf)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static Vm toVm(IniSection section) {
        UpstreamId address =
                ADDRESS.parse(VmKeys.SECTION.nameOf(section)).value().orElseThrow();
        return new Vm(
                address,
                VmKeys.ROLE.read(section),
                VmKeys.SERVICE.find(section).orElse(""),
                VmKeys.FAILURE_DOMAIN.read(section),
                VmKeys.STATE.read(section),
                VmKeys.INSTANCE.find(section),
                VmKeys.WARMING_UP.read(section));
    }
}
