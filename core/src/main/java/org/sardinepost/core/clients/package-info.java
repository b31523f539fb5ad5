/** Bounds what the clients of a daemon can make it hold. */
package org.sardinepost.core.clients;
