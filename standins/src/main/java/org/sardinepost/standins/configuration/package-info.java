/** Stand-in for the configuration service. */
package org.sardinepost.standins.configuration;
