package org.knapweedhatch.ini;

import java.io.Reader;

/** A reader that hands out at most one line per read, so that the line in work is known while a parser runs. */
final class LineReader extends Reader {

    private static final char BYTE_ORDER_MARK = '\uFEFF';

    private final String text;
    private int position;
    private int line;
    private boolean inLine;

    LineReader(String text) {
        this.text = text;
        this.position = !text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK ? 1 : 0;
    }

    /** Returns the number of the line that was handed out last, counted from 1. */
    int line() {
        return line;
    }

    /** Returns whether everything was handed out. */
    boolean atEnd() {
        return position >= text.length();
    }

    @Override
    public int read(char[] buffer, int offset, int length) {
        if (atEnd()) {
            return -1;
        }
        if (!inLine) {
            line++;
        }
        int newline = text.indexOf('\n', position);
        int end = newline < 0 ? text.length() : newline + 1;
        int count = Math.min(length, end - position);
        text.getChars(position, position + count, buffer, offset);
        position += count;
        inLine = position < end;
        return count;
    }

    @Override
    public void close() {}
}
