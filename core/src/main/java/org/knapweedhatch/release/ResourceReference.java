package org.knapweedhatch.release;

/** A thing's mention of another one: the field, and the kind and name it must find. */
record ResourceReference(String field, ResourceKind kind, String name) {}
