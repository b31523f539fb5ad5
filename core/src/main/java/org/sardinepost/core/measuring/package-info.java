/** What measuring upstream load may cost and where it is spent. */
package org.sardinepost.core.measuring;
