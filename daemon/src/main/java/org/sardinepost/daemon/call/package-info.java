/** Call processing: from the request of the caller to the buffered response. */
package org.sardinepost.daemon.call;
