package org.sardinepost.core.ini;

import java.util.List;

/** Checks one property of a parsed file. */
@FunctionalInterface
public interface Rule {
    /** Returns every violation of the rule; never throws, whatever the file contains. */
    List<Finding> check(IniDocument document);
}
