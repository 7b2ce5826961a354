import type { UsageReport } from "@marigoldstall/routing.quotas";
import type { LoadUpdate } from "./load-update.js";
import type { SentRequest } from "./sent-request.js";
import type { ServerFailure } from "./server-failure.js";

/**
 * What happened at the backend servers: sent by a member to its hub, and by a hub to the hubs of the other zones. Other
 * members get none of it; they ask for the loads that a request needs.
 */
export interface UpdatesMessage {
    readonly type: "updates";
    readonly vmId: string;
    readonly loads: readonly LoadUpdate[];
    readonly sentRequests: readonly SentRequest[];
    readonly failures: readonly ServerFailure[];
    /** Counts of tenants' requests. */
    readonly usage?: UsageReport | undefined;
}
