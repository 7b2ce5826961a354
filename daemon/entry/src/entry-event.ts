import type {
    Findings,
    HubEvent,
    LoadAnswer,
    LoadQuery,
    PermitAnswer,
    PermitQuery,
    QuotaAnswer,
    QuotaQuery,
    StatusMessage,
    UpdatesMessage,
} from "@marigoldstall/fleet.hubs";
import type { ViewEvent } from "@marigoldstall/fleet.view";
import type { DispatchEvent } from "@marigoldstall/routing.dispatch";

/** An event without the time and the random number, which the root reducer adds. */
type WithoutEventContext<Event> = Event extends unknown ? Omit<Event, "atMs" | "random"> : never;

type SliceEvent<Event extends { readonly type: string; }, Type extends Event["type"]> = WithoutEventContext<
    Extract<Event, { readonly type: Type; }>
>;

/** Events of the root reducer. */
export type EntryEvent =
    | { readonly type: "tick"; }
    | { readonly type: "status-received"; readonly message: StatusMessage; readonly peerAddress: string; }
    /** The seeds have sent their views or cannot be reached, so the VM may read its first view from the store. */
    | { readonly type: "seeds-asked"; }
    /** The VM was suspended for a time that the clock did not count. */
    | { readonly type: "resumed"; readonly uncountedMs: number; }
    | { readonly type: "updates-received"; readonly message: UpdatesMessage; }
    | { readonly type: "load-query-received"; readonly query: LoadQuery; readonly host: string; }
    | { readonly type: "load-answer-received"; readonly answer: LoadAnswer; }
    | { readonly type: "findings-received"; readonly findings: Findings; }
    | { readonly type: "permit-query-received"; readonly query: PermitQuery; readonly host: string; }
    | { readonly type: "permit-answer-received"; readonly answer: PermitAnswer; }
    | { readonly type: "quota-query-received"; readonly query: QuotaQuery; readonly host: string; }
    | { readonly type: "quota-answer-received"; readonly answer: QuotaAnswer; }
    | Omit<SliceEvent<DispatchEvent, "request-arrived">, "configurationAgeMs">
    | SliceEvent<HubEvent, "vms-found">
    | SliceEvent<
        ViewEvent,
        | "registrations-read"
        | "registrations-listed"
        | "configuration-read"
        | "store-read-failed"
        | "view-snapshot-received"
        | "peer-configuration-received"
    >
    | SliceEvent<
        DispatchEvent,
        | "caller-left"
        | "server-checked"
        | "attempt-answered"
        | "attempt-failed"
        | "probe-answered"
        | "probe-failed"
        | "server-verified"
        | "idle-connections-changed"
        | "process-stopping"
        | "process-ending"
    >;
