import type { LoggedDecision } from "./logged-decision.js";

// Escapes everything outside printable ASCII, so that text from callers cannot inject lines or terminal sequences into
// the log.
const NON_PRINTABLE = /[^\x20-\x7e]/g;
const MAX_TEXT_LENGTH = 256;
const MAX_CANDIDATES = 16;

const escapeCharacter = (character: string): string => `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;

const truncate = (text: string): string =>
    text.length > MAX_TEXT_LENGTH ? `${text.slice(0, MAX_TEXT_LENGTH)}...` : text;

const truncateOptional = (text: string | undefined): string | undefined =>
    text === undefined ? undefined : truncate(text);

/** Formats a decision as one line of ASCII JSON of bounded length. */
export const formatDecision = (logged: LoggedDecision): string => {
    const { decision } = logged;
    return JSON.stringify({
        wallMs: logged.wallMs,
        kind: truncate(decision.kind),
        requestId: truncateOptional(decision.requestId),
        service: truncateOptional(decision.service),
        className: truncateOptional(decision.className),
        candidates: decision.candidates.slice(0, MAX_CANDIDATES).map(truncate),
        candidateCount: decision.candidates.length,
        choice: truncateOptional(decision.choice),
        reason: truncate(decision.reason),
    }).replace(NON_PRINTABLE, escapeCharacter);
};
