import type { LoadReport } from "@marigoldstall/core.types";
import type { ViewSummary } from "@marigoldstall/fleet.view";
import type { FleetMessage } from "./fleet-message.js";
import type { VmInfo } from "./vm-info.js";

/** Events of the exchange between VMs. `atMs` is the daemon's monotonic clock. */
export type HubEvent =
    | {
        readonly type: "hub-tick";
        readonly atMs: number;
        /** What the view says, for a message that is due; the argument leaves out what all were told. */
        readonly summarize: (sinceOffset: number) => ViewSummary;
    }
    | { readonly type: "vms-found"; readonly atMs: number; readonly vms: readonly VmInfo[]; }
    | { readonly type: "message-received"; readonly atMs: number; readonly message: FleetMessage; }
    | {
        /** This VM learnt a load at first hand. */
        readonly type: "load-learnt";
        readonly atMs: number;
        readonly instanceId: string;
        readonly load: LoadReport;
    }
    | { readonly type: "request-sent"; readonly atMs: number; readonly instanceId: string; };
