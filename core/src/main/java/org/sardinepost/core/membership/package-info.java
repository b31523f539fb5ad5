/** Membership: tracks which VMs are live or leaving, and detects pauses of this process. */
package org.sardinepost.core.membership;
