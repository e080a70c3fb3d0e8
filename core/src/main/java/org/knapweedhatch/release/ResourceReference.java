package org.knapweedhatch.release;

/**
 * A reference from a field of a resource to another resource, which must exist. The field is empty if the resource's
 * name contains the reference.
 */
record ResourceReference(String field, ResourceKind kind, String name) {}
