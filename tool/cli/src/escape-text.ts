// Control, format and separator characters could move a terminal's cursor, hide text or forge further lines.
const UNPRINTABLE = /[\p{C}\p{Zl}\p{Zp}]/gu;

/** Makes text from callers, other operators and daemons safe to print on one line. */
export const escapeText = (text: string): string =>
    text.replace(UNPRINTABLE, character => `\\u{${character.codePointAt(0)?.toString(16).padStart(4, "0")}}`);
