/** Interface of the platform's object API, an in-memory implementation of it, and the cache and watch built on it. */
package org.knapweedhatch.platform;
