/** Which VMs are live or leaving, by which signal, and whether this process was paused. */
package org.sardinepost.core.membership;
