/** Rules for the settings of a daemon. */
package org.sardinepost.core.settings.rules;
