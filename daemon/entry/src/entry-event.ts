import type { FleetMessage, HubEvent } from "@marigoldstall/fleet.hubs";
import type { ViewEvent } from "@marigoldstall/fleet.view";
import type { DispatchEvent } from "@marigoldstall/routing.dispatch";

/** What a slice's event lacks when the shell makes it. */
type Untimed<Event> = Event extends unknown ? Omit<Event, "atMs" | "random"> : never;

type Picked<Event extends { readonly type: string; }, Type extends Event["type"]> = Untimed<
    Extract<Event, { readonly type: Type; }>
>;

/** Events of the daemon, without the time, which is added when they are handled. */
export type EntryEvent =
    | { readonly type: "tick"; }
    | { readonly type: "message-received"; readonly message: FleetMessage; readonly peerAddress: string; }
    | Picked<HubEvent, "vms-found">
    | Picked<
        ViewEvent,
        | "registrations-read"
        | "registrations-listed"
        | "configuration-read"
        | "store-read-failed"
        | "view-snapshot-received"
        | "peer-configuration-received"
    >
    | Picked<
        DispatchEvent,
        | "request-arrived"
        | "caller-left"
        | "server-checked"
        | "attempt-answered"
        | "attempt-failed"
        | "probe-answered"
        | "probe-failed"
        | "idle-connections-changed"
    >;
