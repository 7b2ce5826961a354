import { selectConfigurationAgeMs } from "@marigoldstall/fleet.view";
import type { EntryState } from "./entry-state.js";

// Callers with a key are better off with another VM as long as this one cannot tell whether their keys still count.
const acceptsApiKeys = ({ view, dispatch }: EntryState, atMs: number): boolean =>
    view.configuration?.configuration.tenantsByKey === undefined || dispatch.keyLeaseMs === undefined
    || selectConfigurationAgeMs(view, atMs) <= dispatch.keyLeaseMs;

/** Whether this VM knows enough to serve requests. */
export const canServeCallers = (state: EntryState, atMs: number): boolean =>
    state.view.configuration !== undefined && state.view.servers.size > 0 && acceptsApiKeys(state, atMs);
