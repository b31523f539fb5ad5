/** Rules for the services text. */
package org.sardinepost.core.text.rules;
