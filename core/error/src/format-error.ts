import type { MarigoldstallError } from "./marigoldstall-error.js";

/** Renders an error for a terminal: code and message, the step and peer, and the hint. */
export const formatError = (error: MarigoldstallError): string => {
    const place = error.peer === undefined ? error.step : `${error.step} (${error.peer})`;
    const lines = [`${error.code} ${error.message}`, `  while: ${place}`];
    if (error.hint !== undefined) {
        lines.push(`  hint: ${error.hint}`);
    }
    return lines.join("\n");
};
