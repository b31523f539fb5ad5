package org.sardinepost.daemon.call;

import org.sardinepost.core.retry.RetryBudget;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.text.Service;

/** A service of the accepted services text, with the state that is kept when the text changes. */
public record RegisteredService(Service service, Dispatcher dispatcher, RetryBudget retryBudget) {}
