package org.sardinepost.core.token;

/**
 * What a token table holds.
 *
 * @param ownEntries entries of the daemon's own incarnation
 * @param adoptedEntries entries of adopted incarnations
 * @param inProgress dispatches in progress
 * @param answerBytes bytes of stored answers and of room reserved for answers
 */
public record TokenTableUsage(int ownEntries, int adoptedEntries, int inProgress, long answerBytes) {}
