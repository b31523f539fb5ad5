/**
 * The active services text: acceptance by version, exchange of sections between daemons, and readiness after startup.
 */
package org.sardinepost.core.configuration;
