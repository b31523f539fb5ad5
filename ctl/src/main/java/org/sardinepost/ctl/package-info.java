/** The command-line tool for operators. */
package org.sardinepost.ctl;
