import { selectConfigurationAgeMs, selectEvacuatedZones } from "@marigoldstall/fleet.view";
import { type DispatchState, selectHold, type ServerState } from "@marigoldstall/routing.dispatch";
import type { CallerListener } from "./caller-listener.js";
import type { CallerMemory } from "./caller-memory.js";
import type { EntryMetrics } from "./entry-metrics.js";
import type { EntryState } from "./entry-state.js";

const MS_PER_SECOND = 1_000;

interface AddGaugesOptions {
    readonly isReady: () => boolean;
    readonly state: () => EntryState;
    readonly nowMs: () => number;
    readonly connectionCount: () => number;
    readonly callers: {
        readonly listener: Pick<CallerListener, "connectionCount">;
        readonly memory: Pick<CallerMemory, "usedBytes" | "maxBytes">;
    };
}

const countServers = ({ services }: DispatchState, isCounted: (server: ServerState) => boolean): number => {
    let count = 0;
    for (const { servers } of services.values()) {
        for (const server of servers.values()) {
            count += isCounted(server) ? 1 : 0;
        }
    }
    return count;
};

const countHeldBack = ({ suspects }: DispatchState, nowMs: number): number =>
    [...suspects.values()].filter(suspect => selectHold(suspect).untilMs > nowMs).length;

const countMetered = ({ quotas: { metered, quotas } }: EntryState): number =>
    metered === "all" ? quotas.size : metered.size;

/** Registers the gauges whose values are computed from the state on each scrape of `/metrics`. */
export const addGauges = (metrics: EntryMetrics, opts: AddGaugesOptions): void => {
    const { state } = opts;
    metrics.addGauge("marigoldstall_ready", "1 when the VM takes new connections.", () => Number(opts.isReady()));
    metrics.addGauge("marigoldstall_is_hub", "1 when this VM is the hub of its zone.", () => Number(state().hub.isHub));
    metrics.addGauge("marigoldstall_vms", "VMs that share the retry budget.", () => state().dispatch.vmCount);
    metrics.addGauge(
        "marigoldstall_requests_open",
        "Requests without an answer.",
        () => state().dispatch.requests.size,
    );
    metrics.addGauge(
        "marigoldstall_configuration_version",
        "Version of the configuration in force, 0 without one.",
        () => state().view.configuration?.configuration.version ?? 0,
    );
    metrics.addGauge(
        "marigoldstall_view_age_seconds",
        "Time since the registrations were known to be current.",
        () => (opts.nowMs() - state().view.registrationReading.confirmedAtMs) / MS_PER_SECOND,
    );
    metrics.addGauge(
        "marigoldstall_configuration_age_seconds",
        "Time since the configuration was known to be the newest.",
        () => selectConfigurationAgeMs(state().view, opts.nowMs()) / MS_PER_SECOND,
    );
    metrics.addGauge(
        "marigoldstall_tenants_metered",
        "Tenants whose requests a hub grants one by one.",
        () => countMetered(state()),
    );
    metrics.addGauge(
        "marigoldstall_quota_pending",
        "Requests that wait for a hub to tell whether they are within the quota of their tenant.",
        () => state().quotas.pending.size,
    );
    metrics.addGauge(
        "marigoldstall_store_era",
        "Restores of the store from a copy that this VM knows of, as numbered by the store.",
        () => state().view.storeEra ?? 0,
    );
    metrics.addGauge(
        "marigoldstall_servers_withheld",
        "Registrations of a restored copy that are not used, as they are older than what is known.",
        () => state().view.withheld.size,
    );
    metrics.addGauge(
        "marigoldstall_zones_evacuated",
        "Zones to whose servers no request is sent, as the operator has evacuated them.",
        () => selectEvacuatedZones(state().view).length,
    );
    metrics.addGauge(
        "marigoldstall_servers_limited",
        "Backend servers that state a limit on their requests.",
        () => countServers(state().dispatch, ({ requestLimit }) => requestLimit.perSecond !== undefined),
    );
    metrics.addGauge(
        "marigoldstall_servers_leaving",
        "Registered backend servers that have said in a response that they are about to end.",
        () => countServers(state().dispatch, ({ isLeaving }) => isLeaving),
    );
    metrics.addGauge(
        "marigoldstall_servers_in_backoff",
        "Backend servers that want nothing from this VM for some time.",
        () => countServers(state().dispatch, ({ backoffUntilMs }) => backoffUntilMs > opts.nowMs()),
    );
    metrics.addGauge(
        "marigoldstall_requests_held_back",
        "Requests that are sent to no server, because servers ended under them.",
        () => countHeldBack(state().dispatch, opts.nowMs()),
    );
    metrics.addGauge(
        "marigoldstall_backend_connections",
        "Connections to backend servers.",
        () => opts.connectionCount(),
    );
    metrics.addGauge(
        "marigoldstall_caller_connections",
        "Connections of callers.",
        () => opts.callers.listener.connectionCount,
    );
    metrics.addGauge(
        "marigoldstall_caller_memory_bytes",
        "Memory that requests of callers and the responses to them hold.",
        () => opts.callers.memory.usedBytes,
    );
    metrics.addGauge(
        "marigoldstall_caller_memory_limit_bytes",
        "Largest memory that requests of callers and the responses to them may hold.",
        () => opts.callers.memory.maxBytes,
    );
};
