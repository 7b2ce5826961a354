import type { FleetMessage } from "./fleet-message.js";

/** Effects of the hub reducer. */
export type HubEffect =
    | { readonly type: "send-message"; readonly hosts: readonly string[]; readonly message: FleetMessage; }
    | { readonly type: "hub-changed"; readonly isHub: boolean; readonly silentMs: number; };
