import { acceptPromise } from "./accept-promise.js";
import { actOnTick } from "./act-on-tick.js";
import { answerPromise } from "./answer-promise.js";
import { changeMembers } from "./change-members.js";
import { noteTick } from "./note-tick.js";
import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipState } from "./ownership-state.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { readLog } from "./read-log.js";
import { settleAppend } from "./settle-append.js";

/** Reducer of the ownership slice. */
export const reduceOwnership = (state: OwnershipState, event: OwnershipEvent): OwnershipTransition => {
    switch (event.type) {
        case "log-read":
            return { state: readLog(state, event), effects: [] };
        case "log-unavailable":
            return {
                state: { ...state, log: { ...state.log, available: false, caughtUpSinceMs: undefined } },
                effects: [],
            };
        case "append-settled":
            return { state: settleAppend(state, event), effects: [] };
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
            const members = changeMembers(stopping, { members: state.members, atMs: event.atMs });
            return actOnTick(members, { atMs: event.atMs, wallMs: event.wallMs, random: 0.5 });
        }
        case "tick":
            return actOnTick(noteTick(state, event), event);
    }
};
