// Control, format and separator characters can move the cursor of a terminal, hide text or forge lines.
const UNSAFE_CHARACTERS = /[\p{C}\p{Zl}\p{Zp}]/gu;

/** Escapes text from callers, other operators and daemons, so that it can be printed safely on one line. */
export const escapeText = (text: string): string =>
    text.replace(UNSAFE_CHARACTERS, character => `\\u{${character.codePointAt(0)?.toString(16).padStart(4, "0")}}`);
