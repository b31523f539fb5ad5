/** Health, readiness, metrics and status for operators. */
package org.sardinepost.daemon.admin;
