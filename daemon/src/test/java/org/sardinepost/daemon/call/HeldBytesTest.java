package org.sardinepost.daemon.call;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against exceeding the memory limit, and against counting bytes as held that were already released. */
final class HeldBytesTest {
    private final HeldBytes heldBytes = new HeldBytes(100);

    @Test
    void requestsLeaveOneQuarterForResponses() {
        HeldBytesReservation reservation = heldBytes.openReservation();

        assertThat(reservation.tryReserveForRequest(75)).isTrue();
        assertThat(reservation.tryReserveForRequest(1)).isFalse();
        assertThat(reservation.tryReserveForResponse(25)).isTrue();
        assertThat(reservation.tryReserveForResponse(1)).isFalse();
        assertThat(heldBytes.usedBytes()).isEqualTo(100);
    }

    @Test
    void lastReleaseReleasesAllBytes() {
        HeldBytesReservation reservation = heldBytes.openReservation();
        reservation.tryReserveForRequest(10);
        reservation.retain();
        reservation.tryReserveForResponse(20);
        reservation.release();
        assertThat(heldBytes.usedBytes()).isEqualTo(30);

        reservation.release();
        assertThat(heldBytes.usedBytes()).isEqualTo(0);
    }

    @Test
    void responseAfterReleaseIsNotReserved() {
        HeldBytesReservation reservation = heldBytes.openReservation();
        reservation.release();

        assertThat(reservation.tryReserveForResponse(1)).isFalse();
        reservation.releasePart(5);
        assertThat(heldBytes.usedBytes()).isEqualTo(0);
    }
}
