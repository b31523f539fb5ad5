/** The transport between daemons: length-prefixed protobuf messages over TCP, with one connection per direction. */
package org.sardinepost.peer;
