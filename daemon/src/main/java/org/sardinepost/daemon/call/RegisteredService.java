package org.sardinepost.daemon.call;

import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.text.Service;

/** A service of the accepted text with the dispatcher that assigns its calls. */
public record RegisteredService(Service service, Dispatcher dispatcher) {}
