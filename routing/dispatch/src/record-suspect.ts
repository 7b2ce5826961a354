import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { mergeSuspect } from "./merge-suspect.js";
import { selectHold } from "./select-hold.js";
import type { SuspectRequest } from "./suspect-request.js";

// Ages travel rounded to milliseconds, so the same completion differs a little from VM to VM.
const SAME_COMPLETION_MS = 100;

const isNews = (known: SuspectRequest | undefined, merged: SuspectRequest): boolean =>
    known === undefined || merged.crashes.length !== known.crashes.length
    || merged.crashes.at(-1)?.atMs !== known.crashes.at(-1)?.atMs
    || merged.completedAtMs - known.completedAtMs > SAME_COMPLETION_MS;

const selectLastAtMs = ({ crashes, completedAtMs }: SuspectRequest): number =>
    Math.max(completedAtMs, crashes.at(-1)?.atMs ?? -Infinity);

// A hold ends by itself and is forgotten after the same time again. Beyond the limit, requests that are not held back and
// whose last crash is the oldest go first.
const evictSuspects = (suspects: Map<string, SuspectRequest>, atMs: number): void => {
    for (const [fingerprint, suspect] of suspects) {
        const lastAtMs = selectLastAtMs(suspect);
        const holdMs = Math.max(DISPATCH_LIMITS.requestHoldMs, selectHold(suspect).untilMs - lastAtMs);
        if (atMs - lastAtMs > 2 * holdMs) {
            suspects.delete(fingerprint);
        }
    }
    if (suspects.size > DISPATCH_LIMITS.maxSuspects) {
        const ranked = [...suspects.values()].sort((a, b) =>
            Number(selectHold(a).untilMs > atMs) - Number(selectHold(b).untilMs > atMs)
            || selectLastAtMs(a) - selectLastAtMs(b)
        );
        for (const { fingerprint } of ranked.slice(0, suspects.size - DISPATCH_LIMITS.maxSuspects)) {
            suspects.delete(fingerprint);
        }
    }
};

const logVerdict = (draft: DispatchDraft, merged: SuspectRequest, source: "response" | "peer"): void => {
    const { crashes, untilMs } = selectHold(merged);
    const isHeldBack = untilMs > draft.atMs;
    draft.log({
        kind: isHeldBack ? "request-held-back" : crashes.length === 0 ? "request-cleared" : "request-suspected",
        inputs: {
            source,
            fingerprint: merged.fingerprint,
            servers: crashes.map(({ instanceId }) => instanceId).join(" "),
            agesMs: crashes.map(({ atMs }) => Math.round(draft.atMs - atMs)).join(" "),
            heldBackMs: Math.max(0, Math.round(untilMs - draft.atMs)),
        },
    });
};

/** Adds what was learned about a request under which servers ended, and tells other VMs if it is new. */
export const recordSuspect = (draft: DispatchDraft, learned: SuspectRequest, source: "response" | "peer"): void => {
    const known = draft.state.suspects.get(learned.fingerprint);
    const merged = mergeSuspect(known, learned);
    if (!isNews(known, merged)) {
        return;
    }
    const suspects = new Map(draft.state.suspects);
    suspects.set(merged.fingerprint, merged);
    evictSuspects(suspects, draft.atMs);
    draft.update({ suspects });
    draft.emit({ type: "findings-changed", source });
    logVerdict(draft, merged, source);
};
