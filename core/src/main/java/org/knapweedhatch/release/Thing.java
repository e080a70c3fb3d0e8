package org.knapweedhatch.release;

/** The kind and name of a thing of a configuration. */
record Thing(Kind kind, String name) {
    @Override
    public String toString() {
        return kind.word() + " " + name;
    }
}
