package org.sardinepost.core.ini;

import java.util.List;

/** Decides one thing about a parsed file. */
@FunctionalInterface
public interface Rule {
    /** Every violation of the rule; never throws, whatever the file contains. */
    List<Finding> check(IniDocument document);
}
