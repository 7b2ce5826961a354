import type { Transition } from "@marigoldstall/core.types";
import { applyDirectives } from "./apply-directives.js";
import { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEffect } from "./dispatch-effect.js";
import type { DispatchEvent } from "./dispatch-event.js";
import type { DispatchState } from "./dispatch-state.js";
import { drainQueue } from "./drain-queue.js";
import { onAdmissionDecided } from "./on-admission-decided.js";
import { onAttemptAnswered } from "./on-attempt-answered.js";
import { onAttemptFailed } from "./on-attempt-failed.js";
import { onCallerLeft } from "./on-caller-left.js";
import { onLimitsLearned } from "./on-limits-learned.js";
import { onLoadsAnswered } from "./on-loads-answered.js";
import { onLoadsReceived } from "./on-loads-received.js";
import { onPermitAnswered } from "./on-permit-answered.js";
import { onPermitRequested } from "./on-permit-requested.js";
import { onProcessEnding } from "./on-process-ending.js";
import { onRequestArrived } from "./on-request-arrived.js";
import { onResumed } from "./on-resumed.js";
import { onServerChecked } from "./on-server-checked.js";
import { onServerRecommended } from "./on-server-recommended.js";
import { onServerVerified } from "./on-server-verified.js";
import { onServersChanged } from "./on-servers-changed.js";
import { onTick } from "./on-tick.js";
import { recordFailure } from "./record-failure.js";
import { recordLeaving } from "./record-leaving.js";
import { recordLoad } from "./record-load.js";
import { recordSuspect } from "./record-suspect.js";

const PROBE_FAILURE_WEIGHT = 0.5;

const drainAllQueues = (draft: DispatchDraft): void => {
    for (const service of draft.state.services.values()) {
        if (service.queue.length > 0) {
            drainQueue(draft, service.name);
        }
    }
};

const applyEvent = (draft: DispatchDraft, event: DispatchEvent): void => {
    switch (event.type) {
        case "request-arrived":
            onRequestArrived(draft, event);
            return;
        case "admission-decided":
            onAdmissionDecided(draft, event);
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
        case "loads-received":
            onLoadsReceived(draft, event);
            drainAllQueues(draft);
            return;
        case "limits-learned":
            onLimitsLearned(draft, event);
            return;
        case "leaving-learned":
            for (const server of event.servers) {
                recordLeaving(draft, { ...server, source: "peer" });
            }
            return;
        case "suspects-learned":
            for (const suspect of event.suspects) {
                recordSuspect(draft, suspect, "peer");
            }
            drainAllQueues(draft);
            return;
        case "permit-requested":
            onPermitRequested(draft, event);
            return;
        case "permit-answered":
            onPermitAnswered(draft, event);
            return;
        case "server-recommended":
            onServerRecommended(draft, event);
            return;
        case "loads-answered":
            onLoadsAnswered(draft, event);
            return;
        case "resumed":
            onResumed(draft, event.uncountedMs);
            return;
        case "process-stopping":
            draft.update({ processEndsAtMs: event.endsAtMs });
            return;
        case "process-ending":
            onProcessEnding(draft);
            return;
        case "load-source-changed":
            draft.update({ loadQueryIntervalMs: event.loadQueryIntervalMs });
            return;
        case "probe-answered":
            draft.updateServer(event.instanceId, { probedAtMs: undefined, isUnhealthy: !event.isHealthy });
            applyDirectives(draft, event.instanceId, { directives: event.directives, isHealthCheck: true });
            if (event.load !== undefined) {
                recordLoad(draft, event.instanceId, { load: event.load, measuredAtMs: draft.atMs });
            }
            drainAllQueues(draft);
            return;
        case "server-verified":
            onServerVerified(draft, event);
            return;
        case "probe-failed":
            recordFailure(draft, event.instanceId, { reason: "probe-failed", weight: PROBE_FAILURE_WEIGHT });
            draft.updateServer(event.instanceId, { probedAtMs: draft.atMs });
            return;
        case "idle-connections-changed":
            draft.updateServer(event.instanceId, { idleConnections: event.idleConnections });
            return;
        case "servers-changed":
            onServersChanged(draft, event.changes);
            drainAllQueues(draft);
            return;
        case "configuration-adopted":
            draft.update({ configuration: event.configuration, splitCreditsByRoute: new Map() });
            return;
        case "zones-evacuated":
            draft.update({ evacuatedZones: new Set(event.zones) });
            drainAllQueues(draft);
            return;
        case "vm-count-changed":
            draft.update({ vmCount: event.vmCount });
            return;
        case "dispatch-tick":
            onTick(draft, event);
            return;
    }
};

/** Applies one event to the dispatch state. */
export const reduceDispatch = (
    state: DispatchState,
    event: DispatchEvent,
): Transition<DispatchState, DispatchEffect> => {
    const draft = new DispatchDraft(state, event);
    applyEvent(draft, event);
    return draft.finish();
};
