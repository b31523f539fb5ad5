/** Stand-in for an upstream. */
package org.sardinepost.standins.upstream;
