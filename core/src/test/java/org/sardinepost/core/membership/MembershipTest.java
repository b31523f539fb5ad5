package org.sardinepost.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** Guards against new requests to a leaving upstream, and against an address that never receives requests again. */
class MembershipTest {
    private static final UpstreamId FIRST = new UpstreamId("10.0.1.1", 7001);
    private static final UpstreamId SECOND = new UpstreamId("10.0.1.2", 7001);
    private static final UpstreamId PEER = new UpstreamId("10.0.0.9", 8082);

    private final Membership membership = new Membership();
    private long revision;

    @Nested
    class Leaving {
        @Test
        void responseHeaderOverridesAListThatStillShowsLive() {
            applyList(0, live(FIRST), live(SECOND));
            membership.markLeaving(FIRST, LeavingSignal.ANSWER_HEADER, minutes(1));
            applyList(2, live(FIRST), live(SECOND));
            assertThat(dispatchable()).containsExactly(SECOND);
        }

        @Test
        void peerMarkHasTheSameEffectAsAnOwnObservation() {
            applyList(0, live(FIRST), live(SECOND));
            membership.markLeavingByPeer(PEER, FIRST, LeavingSignal.ANSWER_HEADER, 500, minutes(1));
            assertThat(dispatchable()).containsExactly(SECOND);
        }

        @Test
        void peerMarkIsNotForwarded() {
            membership.markLeavingByPeer(PEER, FIRST, LeavingSignal.ANSWER_HEADER, 0, minutes(1));
            membership.markLeaving(SECOND, LeavingSignal.ANSWER_HEADER, minutes(1));
            assertThat(membership.ownMarks().keySet()).containsExactly(SECOND);
        }

        @Test
        void upstreamListedAsLeavingStaysExcludedAfterItsMarkExpires() {
            applyList(0, leaving(FIRST));
            membership.expire(minutes(11));
            assertThat(membership.leaving(FIRST)).isTrue();
        }

        @Test
        void olderListDoesNotRestoreAnUpstream() {
            applyList(0, leaving(FIRST));
            membership.applyList(new VmList(List.of(live(FIRST))), revision - 1, minutes(1));
            assertThat(dispatchable()).isEmpty();
        }
    }

    @Nested
    class Recovery {
        @Test
        void reusedAddressIsRestoredWhenTheListShowsANewStart() {
            applyList(0, live(FIRST));
            membership.markLeaving(FIRST, LeavingSignal.ANSWER_HEADER, minutes(1));
            applyList(2);
            assertThat(membership.leaving(FIRST)).isTrue();
            applyList(3, live(FIRST));
            assertThat(dispatchable()).containsExactly(FIRST);
        }

        @Test
        void delayedPeerMarkForAnEarlierProcessIsIgnored() {
            applyList(0, live(FIRST));
            applyList(2);
            applyList(3, live(FIRST));
            membership.markLeavingByPeer(
                    PEER, FIRST, LeavingSignal.ANSWER_HEADER, TimeUnit.MINUTES.toMillis(2), minutes(4));
            assertThat(dispatchable()).containsExactly(FIRST);
        }

        @Test
        void markExpiresAfterTenMinutes() {
            applyList(0, live(FIRST));
            membership.markLeaving(FIRST, LeavingSignal.ANSWER_HEADER, minutes(1));
            assertThat(membership.expire(minutes(11) - 1)).isFalse();
            assertThat(membership.expire(minutes(11))).isTrue();
            assertThat(dispatchable()).containsExactly(FIRST);
        }

        @Test
        void restartThatNoListShowsIsRetriedSoon() {
            applyList(0, live(FIRST));
            membership.connectionFailed(FIRST, true, minutes(1));
            assertThat(dispatchable()).isEmpty();
            membership.expire(minutes(2));
            assertThat(dispatchable()).containsExactly(FIRST);
        }
    }

    @Nested
    class Absence {
        @Test
        void absentUpstreamIsKeptUntilAConnectionFails() {
            applyList(0, live(FIRST), live(SECOND));
            applyList(1, live(SECOND));
            assertThat(dispatchable()).containsExactly(FIRST, SECOND);
            membership.connectionFailed(FIRST, false, minutes(2));
            assertThat(dispatchable()).containsExactly(SECOND);
        }

        @Test
        void upstreamThatWasLeavingAndDisappearedStaysExcluded() {
            applyList(0, live(FIRST));
            applyList(1, leaving(FIRST));
            applyList(2);
            membership.expire(minutes(20));
            assertThat(dispatchable()).isEmpty();
        }
    }

    private void applyList(long atMinute, Vm... vms) {
        revision++;
        membership.applyList(new VmList(Arrays.asList(vms)), revision, minutes(atMinute));
    }

    private List<UpstreamId> dispatchable() {
        return membership.upstreamsByService().getOrDefault("booking", List.of()).stream()
                .map(Upstream::id)
                .toList();
    }

    private static Vm live(UpstreamId id) {
        return new Vm(id, VmRole.UPSTREAM, "booking", "brno-1", VmState.LIVE, Optional.empty());
    }

    private static Vm leaving(UpstreamId id) {
        return new Vm(id, VmRole.UPSTREAM, "booking", "brno-1", VmState.LEAVING, Optional.empty());
    }

    private static long minutes(long value) {
        return TimeUnit.MINUTES.toNanos(value);
    }
}
