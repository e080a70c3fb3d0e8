package org.knapweedhatch.ini;

import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.helper.Validate;

/**
 * Gathers the faults of one file while it is checked; past {@link #MAX_FAULTS} they are only counted.
 *
 * <pre>{@code
 * FaultList faults = FaultList.of("agency.ini");
 * Fields fields = Fields.of(section, faults);
 * return faults.isEmpty() ? Checked.valid(value) : faults.checked();
 * }</pre>
 */
public final class FaultList {

    /** Faults that are listed one by one. */
    public static final int MAX_FAULTS = 100;

    private final String file;
    private final List<FileFault> faults = new ArrayList<>();
    private int count;

    private FaultList(String file) {
        this.file = Validate.notEmpty(file, "file");
    }

    /** Creates an empty list for a file. */
    public static FaultList of(String file) {
        return new FaultList(file);
    }

    /** Adds a fault. */
    public void add(int line, String field, String message) {
        count++;
        if (count <= MAX_FAULTS) {
            faults.add(new FileFault(file, line, field, message));
        }
    }

    /** Returns the name of the file. */
    public String file() {
        return file;
    }

    /** Returns whether no fault was added. */
    public boolean isEmpty() {
        return count == 0;
    }

    /** Returns how many faults were added. */
    public int size() {
        return count;
    }

    /** Returns the faults as a result; throws {@link IllegalArgumentException} where there are none. */
    public <T> Checked<T> checked() {
        List<FileFault> all = new ArrayList<>(faults);
        if (count > MAX_FAULTS) {
            all.add(new FileFault(file, 0, "", (count - MAX_FAULTS) + " more faults"));
        }
        return Checked.faulty(all);
    }
}
