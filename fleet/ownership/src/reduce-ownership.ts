import { acceptPromise } from "./accept-promise.js";
import { answerPromise } from "./answer-promise.js";
import { applyAppendResult } from "./apply-append-result.js";
import { applyLogRead } from "./apply-log-read.js";
import { changeMembers } from "./change-members.js";
import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipState } from "./ownership-state.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { recordTick } from "./record-tick.js";
import { runSteps } from "./run-steps.js";

/** Reduces one event of share ownership. */
export const reduceOwnership = (state: OwnershipState, event: OwnershipEvent): OwnershipTransition => {
    switch (event.type) {
        case "log-read":
            return { state: applyLogRead(state, event), effects: [] };
        case "log-unavailable":
            return {
                state: { ...state, log: { ...state.log, available: false, caughtUpSinceMs: undefined } },
                effects: [],
            };
        case "append-settled":
            return { state: applyAppendResult(state, event), effects: [] };
        case "members-changed":
            return { state: changeMembers(state, event), effects: [] };
        case "configuration-changed":
            return { state: { ...state, configurationVersion: event.version }, effects: [] };
        case "promise-requested":
            return answerPromise(state, event);
        case "promise-answered":
            return { state: acceptPromise(state, event), effects: [] };
        case "stop-started": {
            const stopping = { ...state, isStopping: true };
            const withoutSelf = changeMembers(stopping, { members: state.members, atMs: event.atMs });
            return runSteps(withoutSelf, { atMs: event.atMs, wallMs: event.wallMs, random: 0.5 });
        }
        case "tick":
            return runSteps(recordTick(state, event), event);
    }
};
