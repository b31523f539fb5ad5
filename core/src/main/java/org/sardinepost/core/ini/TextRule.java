package org.sardinepost.core.ini;

import java.util.Optional;

/** Decides one thing about a file's text before it is parsed. */
@FunctionalInterface
public interface TextRule {
    Optional<Finding> check(String file, String content);
}
