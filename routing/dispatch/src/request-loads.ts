import type { Route } from "@marigoldstall/core.types";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import type { DispatchState } from "./dispatch-state.js";
import { isInUse } from "./is-in-use.js";
import { selectResponseBytes } from "./select-response-bytes.js";
import { selectWorkMs } from "./select-work-ms.js";

const selectConnected = (service: DispatchService, state: DispatchState): readonly string[] => {
    const instanceIds: string[] = [];
    for (const server of service.servers.values()) {
        if (
            server.idleConnections > 0 && isInUse(server, state)
            && instanceIds.length < DISPATCH_LIMITS.maxConnectedServers
        ) {
            instanceIds.push(server.server.instanceId);
        }
    }
    return instanceIds;
};

/** Asks the hub for the loads of the servers that suit a request of a route, unless a query was sent just before. */
export const requestLoads = (
    draft: DispatchDraft,
    name: string,
    opts: { readonly route: Route; readonly minIntervalMs: number; },
): void => {
    const service = draft.service(name);
    const { atMs } = draft;
    if (draft.state.loadQueryIntervalMs === undefined || atMs - service.loadsQueriedAtMs < opts.minIntervalMs) {
        return;
    }
    draft.setService({ ...service, loadsQueriedAtMs: atMs });
    draft.emit({
        type: "query-loads",
        service: name,
        workMs: selectWorkMs(service, opts.route),
        responseBytes: selectResponseBytes(service, opts.route),
        connectedInstanceIds: selectConnected(service, draft.state),
    });
};
