const NON_PRINTABLE = /[^\x20-\x7e\n]/g;

/** Formats a value as indented ASCII JSON, escaping control characters so that they cannot reach the terminal. */
export const formatJson = (value: unknown): string =>
    JSON.stringify(value, undefined, 2).replace(
        NON_PRINTABLE,
        character => `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
