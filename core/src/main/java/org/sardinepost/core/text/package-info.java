/** The services text, which operators submit. */
package org.sardinepost.core.text;
