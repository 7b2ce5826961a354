import type { LoadUpdate } from "./load-update.js";

/** A hub's answer to a load query. It expires like any load report and reserves nothing. */
export interface LoadAnswer {
    readonly type: "load-answer";
    readonly service: string;
    /** Average slowness of the service's VMs, which the selected servers alone would not show. */
    readonly averageSlowness: number;
    readonly servers: readonly AnsweredServer[];
}

interface AnsweredServer extends LoadUpdate {
    /** Ages of the requests of other VMs that the load report does not count yet. */
    readonly sentRequestAgesMs: readonly number[];
    /** Recent failures of the server that VMs have told of. */
    readonly failures: number;
    /** Whether no request to the server is known. */
    readonly isUnused: boolean;
}
