package org.sardinepost.daemon.control;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.sardinepost.core.configuration.ConfigurationConflict;
import org.sardinepost.core.configuration.RefusedText;
import org.sardinepost.core.configuration.StartDecision;
import org.sardinepost.core.routing.UpstreamId;

/** The status of the control plane as of its last tick. */
public record ControlStatus(
        long version,
        long revision,
        StartDecision start,
        Optional<ConfigurationConflict> conflict,
        Optional<RefusedText> refused,
        boolean configurationSourceDown,
        boolean vmListSourceDown,
        Optional<Long> sourceStateAgeMillis,
        int peers,
        List<UpstreamId> connectedPeers,
        List<UpstreamId> leavingUpstreams,
        long pauses,
        long fetches,
        long delayedLoadBatches) {
    public ControlStatus {
        Objects.requireNonNull(start);
        Objects.requireNonNull(conflict);
        Objects.requireNonNull(refused);
        Objects.requireNonNull(sourceStateAgeMillis);
        connectedPeers = List.copyOf(connectedPeers);
        leavingUpstreams = List.copyOf(leavingUpstreams);
    }

    static ControlStatus initial() {
        return new ControlStatus(
                0,
                0,
                StartDecision.WAITING,
                Optional.empty(),
                Optional.empty(),
                false,
                false,
                Optional.empty(),
                0,
                List.of(),
                List.of(),
                0,
                0,
                0);
    }

    /** Returns the lines for the status page, each {@code key: value}. */
    public List<String> lines() {
        return List.of(
                "configuration-version: " + version,
                "configuration-revision: " + revision,
                "configuration-conflict: "
                        + conflict.map(ConfigurationConflict::toString).orElse("none"),
                "configuration-refused: " + refused.map(ControlStatus::describe).orElse("none"),
                "configuration-source: " + (configurationSourceDown ? "down" : "up"),
                "vm-list-source: " + (vmListSourceDown ? "down" : "up"),
                "start: " + start.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                "peers: " + peers,
                "peers-connected: " + joinOrNone(connectedPeers),
                "upstreams-leaving: " + joinOrNone(leavingUpstreams),
                "pauses: " + pauses,
                "source-state: "
                        + sourceStateAgeMillis
                                .map(age -> "confirmed " + age + " ms ago")
                                .orElse("none"));
    }

    private static String describe(RefusedText text) {
        return "revision " + text.position() + " with " + text.findings().size() + " faults, first: "
                + text.findings().get(0);
    }

    private static String joinOrNone(List<UpstreamId> addresses) {
        return addresses.isEmpty()
                ? "none"
                : String.join(", ", addresses.stream().map(UpstreamId::toString).toList());
    }
}
