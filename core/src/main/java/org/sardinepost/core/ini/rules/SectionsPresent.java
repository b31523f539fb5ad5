package org.sardinepost.core.ini.rules;

import java.util.List;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.SectionFormat;

/**
 * Reports required sections that are missing.
 *
 * <p>A section is required if it has keys without a default.
 */
public final class SectionsPresent implements Rule {
    private final FileFormat format;

    public SectionsPresent(FileFormat format) {
        this.format = format;
    }

    @Override
    public List<Finding> check(IniDocument document) {
        return format.sections().stream()
                .filter(SectionFormat::required)
                .filter(required -> document.sections(required).isEmpty())
                .map(required -> new Finding(
                        document.file(),
                        1,
                        required.headerSyntax(),
                        "the section is missing",
                        "add " + required.headerSyntax()))
                .toList();
    }
}
