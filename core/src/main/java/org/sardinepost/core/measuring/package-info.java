/** Selection of upstreams to probe for their load, and the limits on probing. */
package org.sardinepost.core.measuring;
