package org.sardinepost.core.ini;

import java.util.Optional;

/** Checks one property of a file's content before it is parsed. */
@FunctionalInterface
public interface TextRule {
    Optional<Finding> check(String file, String content);
}
