package org.sardinepost.core.text.rules;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.text.RouteKeys;
import org.sardinepost.core.text.RouteShare;
import org.sardinepost.core.text.ServiceKeys;

/**
 * Reports routes to services without a section and routes without a weight above 0.
 *
 * <p>Calls on such a route could not be sent to any service.
 */
public final class RouteServicesExist implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        Set<String> names = document.sections(ServiceKeys.SECTION).stream()
                .map(ServiceKeys.SECTION::nameOf)
                .collect(Collectors.toSet());
        return document.sections(RouteKeys.SECTION).stream()
                .flatMap(section -> findings(document, section, names))
                .toList();
    }

    private static Stream<Finding> findings(IniDocument document, IniSection section, Set<String> names) {
        List<RouteShare> shares = RouteKeys.SERVICES.find(section).orElse(List.of());
        Stream<Finding> missingServices = shares.stream()
                .map(RouteShare::service)
                .filter(service -> !names.contains(service))
                .map(service -> document.finding(
                        section,
                        RouteKeys.SERVICES,
                        "service " + service + " does not exist",
                        "correct the name or add [service " + service + "]"));
        boolean zeroWeight = shares.stream().mapToInt(RouteShare::weight).sum() == 0;
        Stream<Finding> noWeight =
                zeroWeight && section.entry(RouteKeys.SERVICES.name()).isPresent()
                        ? Stream.of(document.finding(
                                section,
                                RouteKeys.SERVICES,
                                "no service has a weight above 0",
                                "give at least one service a weight of 1 or more"))
                        : Stream.empty();
        return Stream.concat(missingServices, noWeight);
    }
}
