package org.sardinepost.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;

/** The evacuated failure domains and the upstreams that get no requests for this reason. Immutable. */
public final class Evacuation {
    private static final Evacuation NONE = new Evacuation(Set.of(), Map.of());

    private final Set<String> domains;
    private final Map<String, Set<UpstreamId>> upstreamsByService;
    private final Set<UpstreamId> upstreams;

    private Evacuation(Set<String> domains, Map<String, Set<UpstreamId>> upstreamsByService) {
        this.domains = Set.copyOf(domains);
        this.upstreamsByService = Map.copyOf(upstreamsByService);
        this.upstreams =
                upstreamsByService.values().stream().flatMap(Set::stream).collect(Collectors.toUnmodifiableSet());
    }

    public static Evacuation none() {
        return NONE;
    }

    static Evacuation of(Set<String> domains, Map<String, Set<UpstreamId>> upstreamsByService) {
        return domains.isEmpty() ? NONE : new Evacuation(domains, upstreamsByService);
    }

    /** Returns this evacuation with the upstreams that the services text lists in the same domains. */
    public Evacuation including(ServicesText text) {
        if (domains.isEmpty()) {
            return this;
        }
        Map<String, Set<UpstreamId>> merged = new HashMap<>(upstreamsByService);
        for (Service service : text.services()) {
            Set<UpstreamId> evacuated = new HashSet<>(merged.getOrDefault(service.name(), Set.of()));
            service.upstreams().stream()
                    .filter(upstream -> domains.contains(upstream.failureDomain()))
                    .map(Upstream::id)
                    .forEach(evacuated::add);
            merged.put(service.name(), Set.copyOf(evacuated));
        }
        return new Evacuation(domains, merged);
    }

    /** Returns the part of this evacuation that another one has in common with it. */
    public Evacuation retaining(Evacuation other) {
        Map<String, Set<UpstreamId>> common = new HashMap<>();
        upstreamsByService.forEach((service, ids) ->
                common.put(service, ids.stream().filter(other::holdsBack).collect(Collectors.toUnmodifiableSet())));
        Set<String> commonDomains = new HashSet<>(domains);
        commonDomains.retainAll(other.domains);
        return new Evacuation(commonDomains, common);
    }

    /** Returns the evacuated domains in alphabetical order. */
    public Set<String> domains() {
        return new TreeSet<>(domains);
    }

    /** Returns the upstreams that get no requests. */
    public Set<UpstreamId> upstreams() {
        return upstreams;
    }

    public boolean holdsBack(UpstreamId upstream) {
        return upstreams.contains(upstream);
    }

    /** Returns whether any upstream of the service gets no requests because of the evacuation. */
    public boolean affects(String service) {
        return !upstreamsByService.getOrDefault(service, Set.of()).isEmpty();
    }
}
