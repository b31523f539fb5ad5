/** The services text in force: acceptance by version, parts for the exchange between daemons, and the start gate. */
package org.sardinepost.core.configuration;
