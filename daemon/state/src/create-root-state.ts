import { createConfigurationState } from "@marigoldstall/config.versions";
import { createMembershipState } from "@marigoldstall/fleet.membership";
import { createOwnershipState } from "@marigoldstall/fleet.ownership";
import { createLedgerState } from "@marigoldstall/requests.ledger";
import { createMeasuringState } from "@marigoldstall/routing.measuring";
import { createRoutingState } from "@marigoldstall/routing.state";
import * as HashMap from "effect/HashMap";
import type { CreateRootStateOptions } from "./create-root-state-options.js";
import type { RootState } from "./root-state.js";

/** Creates the state of a daemon at its start. */
export const createRootState = (opts: CreateRootStateOptions): RootState => ({
    configuration: createConfigurationState({ atMs: opts.atMs }),
    membership: createMembershipState({ self: opts.self, atMs: opts.atMs }),
    ownership: createOwnershipState({ self: opts.self, logRetentionMs: opts.logRetentionMs }),
    ledger: createLedgerState({ self: opts.self.daemon, shareOf: opts.shareOf }),
    routing: createRoutingState({
        vmId: opts.self.daemon.vmId,
        availabilityZone: opts.self.availabilityZone,
        policy: opts.policy,
    }),
    measuring: createMeasuringState(),
    applied: undefined,
    keyedRequests: HashMap.empty(),
    logRetentionMs: opts.logRetentionMs,
});
