/** Which targets there are: what they register of themselves, and what of it may be believed. */
package org.knapweedhatch.target;
