import type { SelectionPolicyName } from "@marigoldstall/routing.policy";

/** Options of `createRoutingState`. */
export interface CreateRoutingStateOptions {
    /** VM id of this daemon, included in the evidence that it publishes. */
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly policy?: SelectionPolicyName | undefined;
}
