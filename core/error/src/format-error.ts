import type { MarigoldstallError } from "./marigoldstall-error.js";

/** Formats an error for a terminal: code and message, step and peer, and hint. */
export const formatError = (error: MarigoldstallError): string => {
    const location = error.peer === undefined ? error.step : `${error.step} (${error.peer})`;
    const lines = [`${error.code} ${error.message}`, `  while: ${location}`];
    if (error.hint !== undefined) {
        lines.push(`  hint: ${error.hint}`);
    }
    return lines.join("\n");
};
