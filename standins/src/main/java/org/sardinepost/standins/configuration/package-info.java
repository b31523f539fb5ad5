/** Stand-in configuration service. */
package org.sardinepost.standins.configuration;
