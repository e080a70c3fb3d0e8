/** A whole deployment on loopback, with traffic and a verdict. */
package org.knapweedhatch.demo;
