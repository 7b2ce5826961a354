const UNPRINTABLE = /[^\x20-\x7e\n]/g;

/** Renders a value as indented JSON in ASCII; control characters cannot reach the terminal. */
export const formatJson = (value: unknown): string =>
    JSON.stringify(value, undefined, 2).replace(
        UNPRINTABLE,
        character => `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
