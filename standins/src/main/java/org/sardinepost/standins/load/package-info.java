/** Load driver that checks the promises. */
package org.sardinepost.standins.load;
