/** The operators' command line tool. */
package org.sardinepost.ctl;
