/** The health, readiness, metrics and status pages of the admin address. */
package org.sardinepost.daemon.admin;
