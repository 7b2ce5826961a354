import type { Transition } from "@marigoldstall/core.types";
import { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEffect } from "./dispatch-effect.js";
import type { DispatchEvent } from "./dispatch-event.js";
import type { DispatchState } from "./dispatch-state.js";
import { drainQueue } from "./drain-queue.js";
import { noteFailure } from "./note-failure.js";
import { noteLoad } from "./note-load.js";
import { onAttemptAnswered } from "./on-attempt-answered.js";
import { onAttemptFailed } from "./on-attempt-failed.js";
import { onCallerLeft } from "./on-caller-left.js";
import { onRequestArrived } from "./on-request-arrived.js";
import { onServerChecked } from "./on-server-checked.js";
import { onServersChanged } from "./on-servers-changed.js";
import { onTick } from "./on-tick.js";

const PROBE_FAILURE_WEIGHT = 0.5;

const drainAll = (draft: DispatchDraft): void => {
    for (const service of draft.base.services.values()) {
        if (service.queue.length > 0) {
            drainQueue(draft, service.name);
        }
    }
};

const onLoadsLearnt = (
    draft: DispatchDraft,
    event: Extract<DispatchEvent, { readonly type: "loads-learnt"; }>,
): void => {
    for (const { instanceId, load, measuredAtMs } of event.loads) {
        noteLoad(draft, instanceId, { load, measuredAtMs });
    }
    for (const { instanceId, sentAtMs } of event.sendings) {
        const server = draft.server(instanceId);
        if (server !== undefined) {
            draft.updateServer(instanceId, { sendings: [...server.sendings, sentAtMs] });
        }
    }
    drainAll(draft);
};

const step = (draft: DispatchDraft, event: DispatchEvent): void => {
    switch (event.type) {
        case "request-arrived":
            onRequestArrived(draft, event);
            return;
        case "caller-left":
            onCallerLeft(draft, event.requestKey);
            return;
        case "server-checked":
            onServerChecked(draft, event);
            return;
        case "attempt-answered":
            onAttemptAnswered(draft, event);
            return;
        case "attempt-failed":
            onAttemptFailed(draft, event);
            return;
        case "loads-learnt":
            onLoadsLearnt(draft, event);
            return;
        case "probe-answered":
            draft.updateServer(event.instanceId, { probedAtMs: undefined, isUnhealthy: !event.isHealthy });
            if (event.load !== undefined) {
                noteLoad(draft, event.instanceId, { load: event.load, measuredAtMs: draft.atMs });
            }
            drainAll(draft);
            return;
        case "probe-failed":
            noteFailure(draft, event.instanceId, { reason: "probe-failed", weight: PROBE_FAILURE_WEIGHT });
            draft.updateServer(event.instanceId, { probedAtMs: draft.atMs });
            return;
        case "idle-connections-changed":
            draft.updateServer(event.instanceId, { idleConnections: event.idleConnections });
            return;
        case "servers-changed":
            onServersChanged(draft, event.changes);
            drainAll(draft);
            return;
        case "configuration-adopted":
            draft.update({ configuration: event.configuration, splitCredits: new Map() });
            return;
        case "fleet-sized":
            draft.update({ vmCount: event.vmCount });
            return;
        case "dispatch-tick":
            onTick(draft, event);
            return;
    }
};

/** Reducer of the dispatch. */
export const reduceDispatch = (
    state: DispatchState,
    event: DispatchEvent,
): Transition<DispatchState, DispatchEffect> => {
    const draft = new DispatchDraft(state, event);
    step(draft, event);
    return draft.finish();
};
