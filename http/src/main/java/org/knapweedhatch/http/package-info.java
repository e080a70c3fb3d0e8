/** HTTP calls, one by one, each with its timeout. */
package org.knapweedhatch.http;
