package org.sardinepost.core.settings;

import java.util.List;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.ValidatingReader;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.routing.ColdTolerance;
import org.sardinepost.core.routing.UpstreamId;

/** Reads the settings of a daemon, or reports every error if any of them is invalid. */
public final class DaemonSettingsReader {
    private DaemonSettingsReader() {}

    public static ValidationResult<DaemonSettings> read(String file, String content) {
        return ValidatingReader.read(file, content, DaemonSettingsFormat.RULES, DaemonSettingsReader::toSettings);
    }

    private static DaemonSettings toSettings(IniDocument document) {
        IniSection daemon = sectionOrEmpty(document, DaemonKeys.SECTION);
        IniSection configuration = sectionOrEmpty(document, SourceKeys.CONFIGURATION);
        IniSection vms = sectionOrEmpty(document, SourceKeys.VMS);
        IniSection limits = sectionOrEmpty(document, LimitKeys.SECTION);
        IniSection warmUp = sectionOrEmpty(document, WarmUpKeys.SECTION);
        IniSection log = sectionOrEmpty(document, LogKeys.SECTION);
        UpstreamId peerAddress = DaemonKeys.PEER_ADDRESS.read(daemon);
        return DaemonSettings.builder()
                .callerAddress(DaemonKeys.CALLER_ADDRESS.read(daemon))
                .adminAddress(DaemonKeys.ADMIN_ADDRESS.read(daemon))
                .peerAddress(peerAddress)
                .failureDomain(DaemonKeys.FAILURE_DOMAIN.read(daemon))
                .region(DaemonKeys.REGION.read(daemon))
                .drainWait(DaemonKeys.DRAIN_WAIT.read(daemon))
                .placement(DaemonKeys.PLACEMENT.read(daemon))
                .processorCapacity(DaemonKeys.PROCESSOR_CAPACITY.read(daemon))
                .configuration(SourceKeys.readSource(configuration, SourceKeys.CONFIGURATION_SOURCE))
                .vms(SourceKeys.readSource(vms, SourceKeys.VMS_SOURCE))
                .absentHold(SourceKeys.ABSENT_HOLD.find(vms))
                .peers(peersExcluding(peerAddress, sectionOrEmpty(document, PeersKeys.SECTION)))
                .heldBytes(LimitKeys.HELD_BYTES.read(limits))
                .requestLimitBytes(LimitKeys.REQUEST_LIMIT.read(limits))
                .headerLimitBytes(Math.toIntExact(LimitKeys.HEADER_LIMIT.read(limits)))
                .requestIdHeader(LogKeys.REQUEST_ID_HEADER.find(log))
                .callLogLinesPerSecond(Math.toIntExact(LogKeys.CALL_LINES.read(log)))
                .tokenEntries(Math.toIntExact(LimitKeys.TOKEN_ENTRIES.read(limits)))
                .coldTolerance(new ColdTolerance(WarmUpKeys.OVERSHOOT.read(warmUp), WarmUpKeys.SLACK.read(warmUp)))
                .connections(Math.toIntExact(LimitKeys.CONNECTIONS.read(limits)))
                .connectionShare(LimitKeys.CONNECTION_SHARE.read(limits))
                .descriptorReserve(LimitKeys.DESCRIPTOR_RESERVE.read(limits))
                .stallTime(LimitKeys.STALL_TIME.read(limits))
                .refusalPause(LimitKeys.REFUSAL_PAUSE.read(limits))
                .build();
    }

    /** Excludes the daemon itself, because operators may configure the same list for all daemons. */
    private static List<UpstreamId> peersExcluding(UpstreamId self, IniSection peers) {
        return PeersKeys.ADDRESSES.read(peers).stream()
                .filter(address -> !address.equals(self))
                .toList();
    }

    /** Returns the section, or an empty section, which has the default values, if the file does not contain it. */
    private static IniSection sectionOrEmpty(IniDocument document, SectionFormat format) {
        return document.section(format.header()).orElse(new IniSection(format.header(), 1, List.of()));
    }
}
