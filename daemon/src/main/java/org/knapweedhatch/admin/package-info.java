/** What an entry host tells operators and callers about itself. */
package org.knapweedhatch.admin;
