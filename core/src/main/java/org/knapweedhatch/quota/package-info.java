/** Each host's share of what all hosts together may use: rates of teams, retries, requests to cold targets. */
package org.knapweedhatch.quota;
