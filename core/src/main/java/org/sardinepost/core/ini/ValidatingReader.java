package org.sardinepost.core.ini;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.sardinepost.core.ini.rules.ByteOrderMark;
import org.sardinepost.core.ini.rules.TextPresent;
import org.sardinepost.core.ini.rules.TextSize;

/** Applies all rules of a format to a file and converts the file to a value if it violates no rule. */
public final class ValidatingReader {
    /** Bounds memory and output for a file of a different format, where every line is an error. */
    private static final int MAX_FINDINGS = 1_000;

    private static final List<TextRule> TEXT_RULES = List.of(new TextPresent(), new TextSize(), new ByteOrderMark());

    private ValidatingReader() {}

    public static <T> ValidationResult<T> read(
            String file, String content, List<Rule> rules, Function<IniDocument, T> converter) {
        return read(file, content, rules, converter, new ValueCache());
    }

    /** Reuses the cached values of sections that are unchanged since the previous call with this cache. */
    public static <T> ValidationResult<T> read(
            String file, String content, List<Rule> rules, Function<IniDocument, T> converter, ValueCache cache) {
        Optional<Finding> textFinding = TEXT_RULES.stream()
                .flatMap(rule -> rule.check(file, content).stream())
                .findFirst();
        if (textFinding.isPresent()) {
            return ValidationResult.failure(List.of(textFinding.get()));
        }
        IniDocument document = IniParser.parse(file, content, cache);
        IniDocument changed = document.withChangedSectionsOnly();
        List<Finding> findings = rules.stream()
                .flatMap(rule -> rule.check(rule instanceof SectionRule ? changed : document).stream())
                .sorted(Comparator.comparingInt(Finding::line))
                .toList();
        if (!findings.isEmpty()) {
            return ValidationResult.failure(truncate(file, findings));
        }
        cache.documentIsValid();
        return ValidationResult.success(converter.apply(document));
    }

    /** Returns the rules that apply to the content of a file before it is parsed. */
    public static List<TextRule> textRules() {
        return TEXT_RULES;
    }

    private static List<Finding> truncate(String file, List<Finding> findings) {
        if (findings.size() <= MAX_FINDINGS) {
            return findings;
        }
        List<Finding> listed = new ArrayList<>(findings.subList(0, MAX_FINDINGS));
        listed.add(new Finding(
                file,
                findings.get(MAX_FINDINGS).line(),
                "",
                (findings.size() - MAX_FINDINGS) + " further errors are not listed",
                "correct the errors above and check again"));
        return listed;
    }
}
