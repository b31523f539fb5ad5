package org.sardinepost.core.admission;

/**
 * What became of the calls of one kind and priority of a service.
 *
 * @param queued calls that are queued now
 * @param dispatched calls that were sent to upstreams since the start
 * @param displaced queued calls that were refused because of more urgent ones, since the start
 * @param refusedAtOnce calls that were refused on arrival, since the start
 * @param refusedAfterWait calls that were refused after they were queued and not displaced, since the start
 * @param displacedRecently displaced calls of about the last 10 s
 * @param slotsHeldFree slots that less urgent calls leave free for this kind now
 * @param belowGuaranteedShare whether the kind is served less than its guaranteed share
 */
public record KindReport(
        String kind,
        int priority,
        int queued,
        long dispatched,
        long displaced,
        long refusedAtOnce,
        long refusedAfterWait,
        int displacedRecently,
        int slotsHeldFree,
        boolean belowGuaranteedShare) {}
