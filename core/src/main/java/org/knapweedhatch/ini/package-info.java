/** Reading INI files with line numbers, and checking their fields; every fault names file, line and field. */
package org.knapweedhatch.ini;
