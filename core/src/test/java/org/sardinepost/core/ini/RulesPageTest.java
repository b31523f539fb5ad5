package org.sardinepost.core.ini;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.ini.values.ListOf;
import org.sardinepost.core.membership.VmListFormat;
import org.sardinepost.core.settings.DaemonSettingsFormat;
import org.sardinepost.core.text.ServicesTextFormat;

/** Guards against rules that the checks page does not document, and against rule classes that no format applies. */
class RulesPageTest {
    private static final Path CLASSES = Path.of("target", "classes");

    @Test
    void everyRuleIsDocumentedOnce() {
        List<String> entries = DocPages.lines("checks.md").stream()
                .filter(line -> line.startsWith("### "))
                .map(line -> line.substring(4))
                .toList();
        assertThat(entries)
                .containsExactlyElementsIn(
                        appliedRules().map(RulesPageTest::entryName).collect(Collectors.toCollection(TreeSet::new)));
    }

    @Test
    void everyRuleClassIsApplied() throws IOException {
        Set<String> appliedRules = appliedRules().map(Class::getName).collect(Collectors.toSet());
        try (Stream<Path> files = Files.walk(CLASSES)) {
            List<String> rules = files.filter(file -> file.toString().endsWith(".class"))
                    .map(file -> CLASSES.relativize(file).toString().replace('/', '.'))
                    .map(name -> name.substring(0, name.length() - ".class".length()))
                    .filter(RulesPageTest::isRule)
                    .toList();
            assertThat(rules).containsExactlyElementsIn(appliedRules);
        }
    }

    private static boolean isRule(String name) {
        try {
            Class<?> type = Class.forName(name);
            boolean rule = Rule.class.isAssignableFrom(type)
                    || TextRule.class.isAssignableFrom(type)
                    || ValueType.class.isAssignableFrom(type);
            return rule && !type.isInterface();
        } catch (ClassNotFoundException e) {
            throw new AssertionError(e);
        }
    }

    private static Stream<Class<?>> appliedRules() {
        Stream<Class<?>> textRules = ValidatingReader.textRules().stream().map(Object::getClass);
        Stream<Class<?>> rules = Stream.of(ServicesTextFormat.RULES, DaemonSettingsFormat.RULES, VmListFormat.RULES)
                .flatMap(List::stream)
                .map(Object::getClass);
        Stream<Class<?>> types = Stream.of(ServicesTextFormat.FORMAT, DaemonSettingsFormat.FORMAT, VmListFormat.FORMAT)
                .flatMap(format -> format.sections().stream())
                .flatMap(section -> section.keys().stream())
                .flatMap(key -> types(key.type()));
        return Stream.of(textRules, rules, types).flatMap(stream -> stream).distinct();
    }

    private static Stream<Class<?>> types(ValueType<?> type) {
        Stream<Class<?>> ownType = Stream.of(type.getClass());
        return type instanceof ListOf<?> list ? Stream.concat(ownType, types(list.item())) : ownType;
    }

    private static String entryName(Class<?> type) {
        return type.getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "-").toLowerCase(Locale.ROOT);
    }
}
