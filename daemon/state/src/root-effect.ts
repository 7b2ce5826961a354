import type { ConfigurationEffect } from "@marigoldstall/config.versions";
import type { Decision } from "@marigoldstall/core.types";
import type { MembershipEffect } from "@marigoldstall/fleet.membership";
import type { OwnershipEffect } from "@marigoldstall/fleet.ownership";
import type { LedgerEffect } from "@marigoldstall/requests.ledger";
import type { MeasuringEffect } from "@marigoldstall/routing.measuring";
import type { RoutingEffect } from "@marigoldstall/routing.state";

type MembershipRpcEffect = Extract<
    MembershipEffect,
    { readonly type: "send-heartbeat" | "answer-heartbeat" | "send-evidence"; }
>;

/** Effects for the runtime to run: those of the slices that are not dispatched to another slice. */
export type RootEffect =
    | Exclude<RoutingEffect, { readonly type: "publish-evidence" | "log-decision"; }>
    | Exclude<LedgerEffect, { readonly type: "route-request" | "log-decision"; }>
    | Exclude<OwnershipEffect, { readonly type: "log-decision"; }>
    | Exclude<ConfigurationEffect, { readonly type: "log-decision"; }>
    | MembershipRpcEffect
    | MeasuringEffect
    | { readonly type: "log-decision"; readonly concern: string; readonly decision: Decision; };
