/** The settings of a daemon, read from an INI file and checked whole. */
package org.knapweedhatch.settings;
