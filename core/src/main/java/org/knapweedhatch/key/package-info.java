/** Checks the API keys of requests. */
package org.knapweedhatch.key;
