import type { ConfigurationEffect } from "@marigoldstall/config.versions";
import type { Decision } from "@marigoldstall/core.types";
import type { MembershipEffect } from "@marigoldstall/fleet.membership";
import type { OwnershipEffect } from "@marigoldstall/fleet.ownership";
import type { LedgerEffect } from "@marigoldstall/requests.ledger";
import type { MeasuringEffect } from "@marigoldstall/routing.measuring";
import type { RoutingEffect } from "@marigoldstall/routing.state";

type MembershipWireEffect = Extract<
    MembershipEffect,
    { readonly type: "send-heartbeat" | "answer-heartbeat" | "send-evidence"; }
>;

/** Effects that the shell runs: those of the slices that no other slice takes as an event. */
export type RootEffect =
    | Exclude<RoutingEffect, { readonly type: "publish-evidence" | "log-decision"; }>
    | Exclude<LedgerEffect, { readonly type: "route-request" | "log-decision"; }>
    | Exclude<OwnershipEffect, { readonly type: "log-decision"; }>
    | Exclude<ConfigurationEffect, { readonly type: "log-decision"; }>
    | MembershipWireEffect
    | MeasuringEffect
    | { readonly type: "log-decision"; readonly concern: string; readonly decision: Decision; };
