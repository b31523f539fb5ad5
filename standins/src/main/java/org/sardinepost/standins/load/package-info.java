/** Load generators that check the guarantees to callers and measure the overhead of a daemon. */
package org.sardinepost.standins.load;
