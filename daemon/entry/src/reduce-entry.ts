import type { Transition } from "@marigoldstall/core.types";
import { selectLiveVms, selectProbedZoneFilter, selectReadDelayMs } from "@marigoldstall/fleet.hubs";
import { selectViewSummary } from "@marigoldstall/fleet.view";
import { selectAttempt } from "@marigoldstall/routing.dispatch";
import { EntryDraft } from "./entry-draft.js";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryEvent } from "./entry-event.js";
import type { EntryState } from "./entry-state.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";

const countVms = (draft: EntryDraft): number => 1 + selectLiveVms(draft.state.hub, draft.atMs).length;

const updateVmCount = (draft: EntryDraft, vmCount: number): void => {
    if (vmCount !== draft.state.dispatch.vmCount) {
        draft.applyDispatchEvent({ type: "vm-count-changed", ...draft.eventContext, vmCount });
    }
};

const onTick = (draft: EntryDraft): void => {
    const { atMs } = draft;
    if (atMs - draft.state.lastViewTickAtMs >= ENTRY_TIMINGS.viewTickIntervalMs) {
        draft.update({ lastViewTickAtMs: atMs });
        draft.applyViewEvent({ type: "view-tick", atMs, readDelayMs: selectReadDelayMs(draft.state.hub, atMs) });
    }
    draft.applyDispatchEvent({
        type: "dispatch-tick",
        ...draft.eventContext,
        probesZone: draft.state.hub.isHub ? selectProbedZoneFilter(draft.state.hub, atMs) : undefined,
        probeIntervalMs: draft.state.probeIntervalMs,
    });
    draft.applyHubEvent({
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
    draft.applyHubEvent({ type: "message-received", atMs, message });
    draft.applyViewEvent({ type: "view-summary-received", atMs, peerAddress, summary: message.summary });
    if (message.loads.length > 0 || message.sentRequests.length > 0) {
        draft.applyDispatchEvent({
            type: "loads-received",
            ...draft.eventContext,
            loads: message.loads.map(({ instanceId, load, ageMs }) => ({
                instanceId,
                load,
                measuredAtMs: atMs - ageMs,
            })),
            sentRequests: message.sentRequests.map(({ instanceId, ageMs }) => ({ instanceId, sentAtMs: atMs - ageMs })),
        });
    }
    if (message.vms.length > 0) {
        // VMs that stopped responding may return after using part of the retry budget, so the count never decreases
        // here.
        updateVmCount(draft, Math.max(countVms(draft), draft.state.dispatch.vmCount));
    }
};

const applyEvent = (draft: EntryDraft, event: EntryEvent): void => {
    const { atMs } = draft;
    switch (event.type) {
        case "tick":
            onTick(draft);
            return;
        case "message-received":
            onMessage(draft, event);
            return;
        case "vms-found":
            draft.applyHubEvent({ ...event, atMs });
            updateVmCount(draft, countVms(draft));
            return;
        case "registrations-read":
        case "registrations-listed":
        case "configuration-read":
        case "store-read-failed":
        case "view-snapshot-received":
        case "peer-configuration-received":
            draft.applyViewEvent({ ...event, atMs });
            return;
        case "attempt-answered":
        case "server-checked":
        case "probe-answered": {
            const instanceId = event.type === "probe-answered"
                ? event.instanceId
                : selectAttempt(draft.state.dispatch, event.attemptId)?.attempt.instanceId;
            if (event.load !== undefined && instanceId !== undefined) {
                draft.applyHubEvent({ type: "load-reported", atMs, instanceId, load: event.load });
            }
            draft.applyDispatchEvent({ ...event, ...draft.eventContext });
            return;
        }
        case "request-arrived":
        case "caller-left":
        case "attempt-failed":
        case "probe-failed":
        case "idle-connections-changed":
            draft.applyDispatchEvent({ ...event, ...draft.eventContext });
            return;
    }
};

/** Root reducer of the entry daemon. */
export const reduceEntry = (
    state: EntryState,
    event: EntryEvent,
    opts: { readonly atMs: number; readonly random: number; },
): Transition<EntryState, EntryEffect> => {
    const draft = new EntryDraft(state, opts);
    applyEvent(draft, event);
    return draft.finish();
};
