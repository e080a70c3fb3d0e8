/** Each host's part of what all hosts together may use: rates of teams, retries, requests to cold targets. */
package org.knapweedhatch.quota;
