/** The settings of one daemon. */
package org.sardinepost.core.settings;
