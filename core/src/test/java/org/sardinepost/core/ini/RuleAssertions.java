package org.sardinepost.core.ini;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.truth.IterableSubject;
import java.util.List;

/** Assertions on the findings of a rule. */
public final class RuleAssertions {
    private RuleAssertions() {}

    /** Asserts on the findings in the form {@code line key}; every finding must have a remedy. */
    public static IterableSubject assertFindings(Rule rule, String... lines) {
        List<Finding> findings = rule.check(IniParser.parse("f.ini", String.join("\n", lines)));
        findings.forEach(
                finding -> assertWithMessage("remedy").that(finding.remedy()).isNotEmpty());
        return assertWithMessage(findings.toString())
                .that(findings.stream()
                        .map(finding -> finding.line() + " " + finding.key())
                        .toList());
    }
}
