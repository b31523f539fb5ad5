/** The transport between daemons: one connection in each direction, varint-framed protobuf over TCP. */
package org.sardinepost.peer;
