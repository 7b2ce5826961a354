import type { HubEffect } from "@marigoldstall/fleet.hubs";
import type { ViewEffect } from "@marigoldstall/fleet.view";
import type { DispatchEffect } from "@marigoldstall/routing.dispatch";

/** Effect of any slice, executed by the daemon. */
export type EntryEffect =
    | ViewEffect
    | HubEffect
    // The reducer passes these on to the hub slice, or sends them to other VMs.
    | Exclude<
        DispatchEffect,
        {
            readonly type:
                | "query-loads"
                | "report-failure"
                | "request-permit"
                | "answer-permit"
                | "findings-changed";
        }
    >;
