/** HTTP parsing that is stricter than the library's. */
package org.sardinepost.daemon.http;
