import type { LoadReport, WarmUp } from "@marigoldstall/core.types";

/** What a hub knows about the servers of a service that suit a request best. */
export interface LoadSelection {
    readonly service: string;
    /** Average slowness factor of the VMs of all servers of the service. */
    readonly averageSlowness: number;
    readonly servers: readonly SelectedServer[];
}

interface SelectedServer {
    readonly instanceId: string;
    readonly load: LoadReport;
    readonly measuredAtMs: number;
    /** When other VMs sent requests that the load report does not count yet. */
    readonly othersSentAtMs: readonly number[];
    /** Recent failures that VMs have told of, decayed up to now. */
    readonly failures: number;
    readonly isUnused: boolean;
    /** Undefined if the server has not stated any warm-up, or its requests are not limited while it is cold. */
    readonly warmUp?: WarmUp | undefined;
}
