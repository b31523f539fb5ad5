package org.sardinepost.core.text.rules;

import java.util.List;
import java.util.stream.Stream;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.text.ServiceKeys;

/**
 * Reports a service that has only one of {@code warm-up} and {@code warm-up-rate}.
 *
 * <p>Without the rate, cold upstreams could not be paced; without the time, the rate would have no effect.
 */
public final class WarmUpComplete implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections(ServiceKeys.SECTION).stream()
                .flatMap(section -> Stream.concat(
                        finding(document, section, ServiceKeys.WARM_UP, ServiceKeys.WARM_UP_RATE),
                        finding(document, section, ServiceKeys.WARM_UP_RATE, ServiceKeys.WARM_UP)))
                .toList();
    }

    private static Stream<Finding> finding(IniDocument document, IniSection section, Key<?> present, Key<?> missing) {
        if (section.value(present.name()).isEmpty()
                || section.value(missing.name()).isPresent()) {
            return Stream.empty();
        }
        return Stream.of(document.finding(
                section,
                present,
                missing.name() + " is missing",
                "add " + missing.name() + " or remove " + present.name()));
    }
}
