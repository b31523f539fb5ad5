package org.sardinepost.daemon.call;

import org.sardinepost.core.retry.RetryBudget;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.text.Service;

/** A service of the accepted text with what outlives a change of the text. */
public record RegisteredService(Service service, Dispatcher dispatcher, RetryBudget retryBudget) {}
