/** The platform's object API as an interface, and an in-memory implementation of it. */
package org.knapweedhatch.platform;
