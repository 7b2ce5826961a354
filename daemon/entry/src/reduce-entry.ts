import type { Transition } from "@marigoldstall/core.types";
import { selectLiveVms, selectProbedZoneFilter, selectReadDelayMs } from "@marigoldstall/fleet.hubs";
import { selectViewSummary } from "@marigoldstall/fleet.view";
import { selectAttempt } from "@marigoldstall/routing.dispatch";
import { EntryDraft } from "./entry-draft.js";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryEvent } from "./entry-event.js";
import { ENTRY_LIMITS } from "./entry-limits.js";
import type { EntryState } from "./entry-state.js";

const countVms = (draft: EntryDraft): number => 1 + selectLiveVms(draft.state.hub, draft.atMs).length;

const sizeFleet = (draft: EntryDraft, vmCount: number): void => {
    if (vmCount !== draft.state.dispatch.vmCount) {
        draft.dispatch({ type: "vm-count-changed", ...draft.timed, vmCount });
    }
};

const onTick = (draft: EntryDraft): void => {
    const { atMs } = draft;
    if (atMs - draft.state.viewTickedAtMs >= ENTRY_LIMITS.viewTickMs) {
        draft.update({ viewTickedAtMs: atMs });
        draft.view({ type: "view-tick", atMs, readDelayMs: selectReadDelayMs(draft.state.hub, atMs) });
    }
    draft.dispatch({
        type: "dispatch-tick",
        ...draft.timed,
        probesZone: draft.state.hub.isHub ? selectProbedZoneFilter(draft.state.hub, atMs) : undefined,
        probeIntervalMs: draft.state.probeIntervalMs,
    });
    draft.hub({
        type: "hub-tick",
        atMs,
        summarize: sinceOffset => selectViewSummary(draft.state.view, { atMs, sinceOffset }),
    });
};

const onMessage = (
    draft: EntryDraft,
    event: Extract<EntryEvent, { readonly type: "message-received"; }>,
): void => {
    const { atMs } = draft;
    const { message, peerAddress } = event;
    draft.hub({ type: "message-received", atMs, message });
    draft.view({ type: "view-summary-received", atMs, peerAddress, summary: message.summary });
    if (message.loads.length > 0 || message.sentRequests.length > 0) {
        draft.dispatch({
            type: "loads-received",
            ...draft.timed,
            loads: message.loads.map(({ instanceId, load, ageMs }) => ({
                instanceId,
                load,
                measuredAtMs: atMs - ageMs,
            })),
            sends: message.sentRequests.map(({ instanceId, ageMs }) => ({ instanceId, sentAtMs: atMs - ageMs })),
        });
    }
    if (message.vms.length > 0) {
        // VMs that fell silent may come back with a part of the budget used, so that the count does not go down here.
        sizeFleet(draft, Math.max(countVms(draft), draft.state.dispatch.vmCount));
    }
};

const step = (draft: EntryDraft, event: EntryEvent): void => {
    const { atMs } = draft;
    switch (event.type) {
        case "tick":
            onTick(draft);
            return;
        case "message-received":
            onMessage(draft, event);
            return;
        case "vms-found":
            draft.hub({ ...event, atMs });
            sizeFleet(draft, countVms(draft));
            return;
        case "registrations-read":
        case "registrations-listed":
        case "configuration-read":
        case "store-read-failed":
        case "view-snapshot-received":
        case "peer-configuration-received":
            draft.view({ ...event, atMs });
            return;
        case "attempt-answered":
        case "server-checked":
        case "probe-answered": {
            const instanceId = event.type === "probe-answered"
                ? event.instanceId
                : selectAttempt(draft.state.dispatch, event.attemptId)?.attempt.instanceId;
            if (event.load !== undefined && instanceId !== undefined) {
                draft.hub({ type: "load-reported", atMs, instanceId, load: event.load });
            }
            draft.dispatch({ ...event, ...draft.timed });
            return;
        }
        case "request-arrived":
        case "caller-left":
        case "attempt-failed":
        case "probe-failed":
        case "idle-connections-changed":
            draft.dispatch({ ...event, ...draft.timed });
            return;
    }
};

/** The root reducer. */
export const reduceEntry = (
    state: EntryState,
    event: EntryEvent,
    opts: { readonly atMs: number; readonly random: number; },
): Transition<EntryState, EntryEffect> => {
    const draft = new EntryDraft(state, opts);
    step(draft, event);
    return draft.finish();
};
