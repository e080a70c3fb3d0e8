/** The immutable nouns of a deployment: regions, failure domains, hosts, targets, teams and links. */
package org.knapweedhatch.world;
