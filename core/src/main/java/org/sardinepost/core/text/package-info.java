/** The services text that operators submit. */
package org.sardinepost.core.text;
