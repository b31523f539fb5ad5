package org.sardinepost.core.token;

/**
 * The current usage of a token table.
 *
 * @param ownEntries number of entries of the daemon's own incarnation
 * @param adoptedEntries number of entries of adopted incarnations
 * @param inProgress number of dispatches in progress
 * @param responseBytes number of bytes of stored responses and of reservations for responses
 */
public record TokenTableUsage(int ownEntries, int adoptedEntries, int inProgress, long responseBytes) {}
