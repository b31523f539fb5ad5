package org.sardinepost.core.settings.rules;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.settings.LimitKeys;

/**
 * Reports a request limit that exceeds the limit on held bytes.
 *
 * <p>A request larger than held-bytes would be refused as overload on every attempt, although it is within
 * request-limit.
 */
public final class RequestFitsHeldBytes implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections(LimitKeys.SECTION).stream()
                .flatMap(section -> problem(document, section))
                .toList();
    }

    private static Stream<Finding> problem(IniDocument document, IniSection section) {
        Optional<Long> held = LimitKeys.HELD_BYTES.find(section);
        Optional<Long> request = LimitKeys.REQUEST_LIMIT.find(section);
        if (held.isEmpty() || request.isEmpty() || request.get() <= held.get()) {
            return Stream.empty();
        }
        return Stream.of(document.finding(
                section,
                LimitKeys.REQUEST_LIMIT,
                "the request limit is larger than held-bytes",
                "raise held-bytes or lower request-limit"));
    }
}
