/** Assignment of calls to upstreams. */
package org.sardinepost.core.routing;
