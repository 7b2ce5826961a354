import type { ConfigurationState } from "@marigoldstall/config.versions";
import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { MembershipState } from "@marigoldstall/fleet.membership";
import type { OwnershipState } from "@marigoldstall/fleet.ownership";
import type { LedgerState } from "@marigoldstall/requests.ledger";
import type { MeasuringState } from "@marigoldstall/routing.measuring";
import type { RoutingState } from "@marigoldstall/routing.state";
import type * as HashMap from "effect/HashMap";
import type { KeyedRequest } from "./keyed-request.js";

/** State of the daemon: its slices, and the state that connects them. */
export interface RootState {
    readonly configuration: ConfigurationState;
    readonly membership: MembershipState;
    readonly ownership: OwnershipState;
    readonly ledger: LedgerState;
    readonly routing: RoutingState;
    readonly measuring: MeasuringState;
    /** Configuration that the slices currently use. */
    readonly applied: AcceptedConfiguration | undefined;
    readonly keyedRequests: HashMap.HashMap<string, KeyedRequest>;
    readonly logRetentionMs: number;
}
