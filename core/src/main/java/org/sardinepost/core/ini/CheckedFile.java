package org.sardinepost.core.ini;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.sardinepost.core.ini.rules.ByteOrderMark;
import org.sardinepost.core.ini.rules.TextPresent;
import org.sardinepost.core.ini.rules.TextSize;

/** Applies all rules of a format to a text; builds the value only if no rule is violated. */
public final class CheckedFile {
    /** Bounds the memory and the output for a file of another kind, of which every line is a fault. */
    private static final int MAX_FINDINGS = 1_000;

    private static final List<TextRule> TEXT_RULES = List.of(new TextPresent(), new TextSize(), new ByteOrderMark());

    private CheckedFile() {}

    public static <T> Checked<T> read(String file, String content, List<Rule> rules, Function<IniDocument, T> build) {
        return read(file, content, rules, build, new ValueCache());
    }

    /** Takes the values of sections that did not change from the cache. */
    public static <T> Checked<T> read(
            String file, String content, List<Rule> rules, Function<IniDocument, T> build, ValueCache cache) {
        Optional<Finding> refused = TEXT_RULES.stream()
                .flatMap(rule -> rule.check(file, content).stream())
                .findFirst();
        if (refused.isPresent()) {
            return Checked.faulty(List.of(refused.get()));
        }
        IniDocument document = IniParser.parse(file, content, cache);
        List<Finding> findings = rules.stream()
                .flatMap(rule -> rule.check(document).stream())
                .sorted(Comparator.comparingInt(Finding::line))
                .toList();
        return findings.isEmpty() ? Checked.good(build.apply(document)) : Checked.faulty(bounded(file, findings));
    }

    /** The rules that apply to a text before it is parsed. */
    public static List<TextRule> textRules() {
        return TEXT_RULES;
    }

    private static List<Finding> bounded(String file, List<Finding> findings) {
        if (findings.size() <= MAX_FINDINGS) {
            return findings;
        }
        List<Finding> shown = new ArrayList<>(findings.subList(0, MAX_FINDINGS));
        shown.add(new Finding(
                file,
                findings.get(MAX_FINDINGS).line(),
                "",
                (findings.size() - MAX_FINDINGS) + " further faults are not listed",
                "correct those above and check again"));
        return shown;
    }
}
