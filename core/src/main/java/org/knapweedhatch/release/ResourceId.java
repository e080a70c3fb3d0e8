package org.knapweedhatch.release;

/** The kind and name of a thing of a configuration. */
record ResourceId(ResourceKind kind, String name) {
    @Override
    public String toString() {
        return kind.keyword() + " " + name;
    }
}
