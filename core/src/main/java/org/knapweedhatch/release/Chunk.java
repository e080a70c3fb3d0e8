package org.knapweedhatch.release;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.ini.Fields;
import org.knapweedhatch.ini.IniFile;
import org.knapweedhatch.ini.Section;
import org.knapweedhatch.world.Configuration;

/**
 * A part of the canonical text of a configuration, identified by its digest.
 *
 * @param digest SHA-256 of the bytes
 * @param bytes canonical text in UTF-8
 */
public record Chunk(String digest, byte[] bytes) {

    static Chunk of(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new Chunk(Digests.sha256(bytes), bytes);
    }

    /** Returns the resources that the chunk declares; fails if the bytes do not match the digest or are malformed. */
    Result<List<Resource>> resources() {
        return PieceDigest.verify(digest, bytes)
                .then(b -> IniFile.parse(digest, b).result(Step.RELEASE))
                .then(this::read);
    }

    /** A resource and its kind. */
    record Resource(ResourceKind kind, Record value) {
        void put(Configuration.Builder builder) {
            kind.put(builder, value);
        }

        void remove(Configuration.Builder builder) {
            kind.remove(builder, value);
        }
    }

    private Result<List<Resource>> read(IniFile file) {
        FaultList faults = FaultList.of(digest);
        List<Resource> all = new ArrayList<>();
        for (Section section : file.sections()) {
            List<String> words = section.words();
            Fields fields = Fields.of(section, faults);
            ResourceKind kind = ResourceKind.of(words.get(0)).orElse(null);
            if (kind == null) {
                faults.add(section.line(), section.title(), "unknown kind of resource");
                continue;
            }
            String name = String.join(" ", words.subList(1, words.size()));
            kind.read(name, fields).forEach(resource -> all.add(new Resource(kind, resource)));
        }
        Checked<List<Resource>> checked = faults.isEmpty() ? Checked.valid(all) : faults.checked();
        return checked.result(Step.RELEASE);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Chunk that && digest.equals(that.digest);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }

    @Override
    public String toString() {
        return digest;
    }
}
