package org.knapweedhatch.release;

/** Identifies a resource of a configuration by kind and name. */
record ResourceId(ResourceKind kind, String name) {
    @Override
    public String toString() {
        return kind.keyword() + " " + name;
    }
}
