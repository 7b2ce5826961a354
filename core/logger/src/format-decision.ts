import type { LoggedDecision } from "./logged-decision.js";

// Everything outside printable ASCII: a caller's text must not add lines or terminal sequences to the log.
const UNPRINTABLE = /[^\x20-\x7e]/g;
const MAX_TEXT_CHARACTERS = 256;
const MAX_CANDIDATES = 16;

const escape = (character: string): string => `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;

const bounded = (text: string): string =>
    text.length > MAX_TEXT_CHARACTERS ? `${text.slice(0, MAX_TEXT_CHARACTERS)}...` : text;

const boundedOptional = (text: string | undefined): string | undefined =>
    text === undefined ? undefined : bounded(text);

/** Renders a decision as one line of ASCII JSON of bounded length. */
export const formatDecision = (logged: LoggedDecision): string => {
    const { decision } = logged;
    return JSON.stringify({
        wallMs: logged.wallMs,
        kind: bounded(decision.kind),
        requestId: boundedOptional(decision.requestId),
        service: boundedOptional(decision.service),
        className: boundedOptional(decision.className),
        candidates: decision.candidates.slice(0, MAX_CANDIDATES).map(bounded),
        candidateCount: decision.candidates.length,
        choice: boundedOptional(decision.choice),
        reason: bounded(decision.reason),
    }).replace(UNPRINTABLE, escape);
};
