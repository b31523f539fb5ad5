/** Validation rules for the VM list. */
package org.sardinepost.core.membership.rules;
