/** The path of a call: from the caller's request to the held answer. */
package org.sardinepost.daemon.call;
