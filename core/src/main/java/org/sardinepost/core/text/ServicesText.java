package org.sardinepost.core.text;

import java.util.List;
import java.util.Optional;

/**
 * A checked services text.
 *
 * @param version the number that the operator raises with each submission
 * @param daemonCeiling the most daemons that may run at once, live and leaving
 * @param services the services in the order of the text
 */
public record ServicesText(long version, int daemonCeiling, List<Service> services) {
    public ServicesText {
        services = List.copyOf(services);
    }

    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** The service that a Host header without port means. */
    public Optional<Service> serviceForHost(String host) {
        return services.stream()
                .filter(service ->
                        service.name().equals(host) || service.hosts().contains(host))
                .findFirst();
    }
}
