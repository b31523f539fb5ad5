/** Stand-in upstream. */
package org.sardinepost.standins.upstream;
