package org.sardinepost.peer;

import java.util.Locale;
import org.sardinepost.peer.generated.PeerMessage;

/** The kinds of peer messages that are counted separately. */
public enum MessageKind {
    HELLO,
    LOAD_BATCH,
    CONFIGURATION_OFFER,
    CONFIGURATION_REQUEST,
    CONFIGURATION_PARTS,
    HANDOVER_FRAME,
    HANDOVER_ACK,
    GOODBYE,
    HEARTBEAT,
    PLACE_REQUEST,
    PLACE_ANSWER,
    PLACE_END,
    SOURCE_STATE,
    PEERS_REQUEST,
    PEER_ADDRESSES,
    SOURCE_STATE_REQUEST,
    /** A message without a body, or with one that is unknown to this version. */
    OTHER;

    public static MessageKind of(PeerMessage message) {
        return switch (message.getBodyCase()) {
            case HELLO -> HELLO;
            case LOAD_BATCH -> LOAD_BATCH;
            case CONFIGURATION_OFFER -> CONFIGURATION_OFFER;
            case CONFIGURATION_REQUEST -> CONFIGURATION_REQUEST;
            case CONFIGURATION_PARTS -> CONFIGURATION_PARTS;
            case HANDOVER_FRAME -> HANDOVER_FRAME;
            case HANDOVER_ACK -> HANDOVER_ACK;
            case GOODBYE -> GOODBYE;
            case HEARTBEAT -> HEARTBEAT;
            case PLACE_REQUEST -> PLACE_REQUEST;
            case PLACE_ANSWER -> PLACE_ANSWER;
            case PLACE_END -> PLACE_END;
            case SOURCE_STATE -> SOURCE_STATE;
            case PEERS_REQUEST -> PEERS_REQUEST;
            case PEER_ADDRESSES -> PEER_ADDRESSES;
            case SOURCE_STATE_REQUEST -> SOURCE_STATE_REQUEST;
            case BODY_NOT_SET -> OTHER;
        };
    }

    /** Returns the label value in metrics, in lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
