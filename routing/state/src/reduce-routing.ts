import type { Transition } from "@marigoldstall/core.types";
import { onAttemptCompleted } from "./on-attempt-completed.js";
import { onAttemptFailed } from "./on-attempt-failed.js";
import { onAttemptResponded } from "./on-attempt-responded.js";
import { onEvidenceReceived } from "./on-evidence-received.js";
import { onLoadProbed } from "./on-load-probed.js";
import { onPressureReceived } from "./on-pressure-received.js";
import { onRequestArrived } from "./on-request-arrived.js";
import { onRequestCancelled } from "./on-request-cancelled.js";
import { onTargetsChanged } from "./on-targets-changed.js";
import { onTick } from "./on-tick.js";
import { onVmListRead } from "./on-vm-list-read.js";
import { RoutingDraft } from "./routing-draft.js";
import type { RoutingEffect } from "./routing-effect.js";
import type { RoutingEvent } from "./routing-event.js";
import type { RoutingState } from "./routing-state.js";

const serviceNamesOf = (state: RoutingState): readonly string[] => state.services.map(service => service.name);

const apply = (draft: RoutingDraft, event: Exclude<RoutingEvent, { readonly type: "tick"; }>): void => {
    switch (event.type) {
        case "request-arrived":
            onRequestArrived(draft, event);
            return;
        case "request-cancelled":
            onRequestCancelled(draft, event.requestId);
            return;
        case "attempt-responded":
            onAttemptResponded(draft, event);
            return;
        case "attempt-completed":
            onAttemptCompleted(draft, event.attemptId);
            return;
        case "attempt-failed":
            onAttemptFailed(draft, event.attemptId, event.failure);
            return;
        case "vm-list-read":
            onVmListRead(draft, { vmList: event.vmList, serviceNames: serviceNamesOf(draft.base) });
            return;
        case "evidence-received":
            onEvidenceReceived(draft, event.evidence);
            return;
        case "pressure-received":
            onPressureReceived(draft, event.pressure);
            return;
        case "load-probed":
            onLoadProbed(draft, event);
            return;
        case "targets-changed":
            onTargetsChanged(draft, { targets: event.targets, serviceNames: serviceNamesOf(draft.base) });
            return;
    }
};

/** Applies one event to the routing state. */
export const reduceRouting = (
    state: RoutingState,
    event: RoutingEvent,
): Transition<RoutingState, RoutingEffect> => {
    const draft = new RoutingDraft(state, { atMs: event.atMs, random: "random" in event ? event.random : 0 });
    if (event.type === "tick") {
        return { state: onTick(draft), effects: draft.effects };
    }
    apply(draft, event);
    return { state: draft.commit(), effects: draft.effects };
};
