package org.sardinepost.core.text;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.ValidatingReader;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.ini.ValueCache;

/** Reads a services text, or reports every error if any part of it is invalid. */
public final class ServicesTextReader {
    private ServicesTextReader() {}

    public static ValidationResult<ServicesText> read(String file, String content) {
        return read(file, content, new ValueCache());
    }

    static ValidationResult<ServicesText> read(String file, String content, ValueCache cache) {
        return ValidatingReader.read(
                file, content, ServicesTextFormat.RULES, ServicesTextReader::toServicesText, cache);
    }

    private static ServicesText toServicesText(IniDocument document) {
        IniSection section = document.sections(TextKeys.SECTION).get(0);
        List<Service> services = document.sections(ServiceKeys.SECTION).stream()
                .map(ServicesTextReader::toService)
                .toList();
        int daemonCeiling = Math.toIntExact(TextKeys.DAEMON_CEILING.read(section));
        List<Route> routes = document.sections(RouteKeys.SECTION).stream()
                .map(ServicesTextReader::toRoute)
                .toList();
        return new ServicesText(TextKeys.VERSION.read(section), daemonCeiling, services, routes);
    }

    private static Route toRoute(IniSection section) {
        return Route.builder(RouteKeys.SECTION.nameOf(section))
                .host(RouteKeys.HOST.read(section))
                .pathPrefix(RouteKeys.PATH_PREFIX.read(section))
                .shares(RouteKeys.SERVICES.read(section))
                .idempotent(RouteKeys.IDEMPOTENT.read(section))
                .attempts(Math.toIntExact(RouteKeys.ATTEMPTS.read(section)))
                .timeLimit(RouteKeys.TIME_LIMIT.read(section))
                .targetLatency(RouteKeys.TARGET_LATENCY.read(section))
                .priority(Math.toIntExact(RouteKeys.PRIORITY.read(section)))
                .build();
    }

    private static Service toService(IniSection section) {
        return Service.builder(ServiceKeys.SECTION.nameOf(section))
                .external(ServiceKeys.EXTERNAL.read(section))
                .directCalls(ServiceKeys.DIRECT_CALLS.read(section))
                .hosts(ServiceKeys.HOSTS.read(section))
                .dependsOn(ServiceKeys.DEPENDS_ON.read(section))
                .upstreams(ServiceKeys.UPSTREAMS.read(section))
                .slots(Math.toIntExact(ServiceKeys.SLOTS.read(section)))
                .idempotentMethods(Set.copyOf(ServiceKeys.IDEMPOTENT_METHODS.read(section)))
                .idempotentPaths(ServiceKeys.IDEMPOTENT_PATHS.read(section))
                .tokens(ServiceKeys.TOKENS.read(section))
                .deadline(ServiceKeys.DEADLINE.read(section))
                .retryBudgetShare(ServiceKeys.RETRY_BUDGET.read(section))
                .measuringBudgetPerSecond(Math.toIntExact(ServiceKeys.MEASURING_BUDGET.read(section)))
                .preference(ServiceKeys.PREFER.read(section))
                .answerLimitBytes(ServiceKeys.ANSWER_LIMIT.read(section))
                .healthPath(ServiceKeys.HEALTH_PATH.find(section))
                .warmUp(toWarmUp(section))
                .build();
    }

    private static Optional<WarmUp> toWarmUp(IniSection section) {
        return ServiceKeys.WARM_UP
                .find(section)
                .map(duration -> new WarmUp(duration, ServiceKeys.WARM_UP_RATE.read(section)));
    }
}
