/** HTTP connections and parsing that are stricter than Jetty's defaults. */
package org.sardinepost.daemon.http;
