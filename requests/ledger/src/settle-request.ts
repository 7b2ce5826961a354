import type { DaemonId, Outcome } from "@marigoldstall/core.types";
import type { StoredResponse } from "./stored-response.js";

/** A runner's report to the owner of a key about the outcome of a claimed request. */
export interface SettleRequest {
    readonly service: string;
    readonly key: string;
    readonly requestId: string;
    readonly runner: DaemonId;
    readonly outcome: Outcome;
    readonly response: StoredResponse | undefined;
}
