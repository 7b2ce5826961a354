import type { Vm, VmList } from "@marigoldstall/core.types";
import type { BackendServerState } from "./backend-server-state.js";
import { createBackendServer } from "./create-backend-server.js";
import { createService } from "./create-service.js";
import { isLeaving } from "./is-leaving.js";
import { limitEjections } from "./limit-ejections.js";
import { logDecision } from "./log-decision.js";
import type { Mutable } from "./mutable.js";
import { requestQueues } from "./request-queues.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import { scheduleWake } from "./schedule-wake.js";
import type { ServiceState } from "./service-state.js";
import { setServers } from "./set-servers.js";

const ENTRY_ROLE = "entry";

const contradictsLeaving = (server: BackendServerState, vm: Vm, asOfMs: number): boolean =>
    server.leavingInstanceIds.length > 0 && vm.state === "live" && server.leavingListAsOfMs !== undefined
    && asOfMs >= server.leavingListAsOfMs + ROUTING_LIMITS.leavingRecheckMs;

const hasLeft = (server: BackendServerState, asOfMs: number): boolean =>
    isLeaving(server) && server.ownInFlight === 0 && server.absentSinceListMs !== undefined
    && asOfMs >= server.absentSinceListMs + ROUTING_LIMITS.leavingRecheckMs;

const updateFromListedVm = (server: BackendServerState, vm: Vm, asOfMs: number): BackendServerState => ({
    ...server,
    availabilityZone: vm.availabilityZone,
    absentSinceListMs: undefined,
    listedLeaving: vm.state === "leaving" && !server.listedLeavingOutdated,
    listedLeavingOutdated: vm.state === "leaving" && server.listedLeavingOutdated,
    // Evidence received before the first list is dated by that list.
    leavingListAsOfMs: server.leavingInstanceIds.length > 0 ? server.leavingListAsOfMs ?? asOfMs : undefined,
    leavingContradicted: server.leavingContradicted || contradictsLeaving(server, vm, asOfMs),
});

// A different VM id at a known address is a different machine.
const mergeListedVm = (
    draft: RoutingDraft,
    service: ServiceState,
    server: BackendServerState | undefined,
    opts: { readonly vm: Vm; readonly asOfMs: number; },
): BackendServerState => {
    const { vm } = opts;
    if (server !== undefined && server.vmId === vm.vmId) {
        const updated = updateFromListedVm(server, vm, opts.asOfMs);
        if (updated.listedLeaving && !server.listedLeaving) {
            logDecision(draft, {
                kind: "leaving",
                service: service.name,
                choice: vm.address,
                reason: "the VM list reports the VM as leaving",
            });
        }
        return updated;
    }
    // Backend servers of the first list are new to this daemon but may have run for long, so they do not start cold.
    const cold = service.servers.length > 0;
    const created = createBackendServer(vm, {
        coldUntilMs: cold ? draft.atMs + ROUTING_LIMITS.slowStartMs : -Infinity,
    });
    if (server === undefined) {
        return created;
    }
    draft.emit({ type: "close-connections", address: vm.address });
    const former = server.instanceId === undefined ? [] : [server.instanceId];
    return { ...created, formerInstanceIds: former, ownInFlight: server.ownInFlight };
};

const updateServers = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    opts: { readonly vms: readonly Vm[]; readonly asOfMs: number; },
): void => {
    const known = new Map(service.servers.map(server => [server.address, server]));
    const listed = new Set(opts.vms.map(vm => vm.address));
    const merged = opts.vms.map(vm =>
        mergeListedVm(draft, service, known.get(vm.address), { vm, asOfMs: opts.asOfMs })
    );
    // A backend server missing from the list is kept until a connection to it fails. One that was leaving is kept for
    // a while, so that a list that briefly omits it does not discard the evidence.
    const absent = service.servers
        .filter(server => !listed.has(server.address) && !hasLeft(server, opts.asOfMs))
        .map(server => ({ ...server, absentSinceListMs: server.absentSinceListMs ?? opts.asOfMs }));
    setServers(service, [...merged, ...absent]);
    limitEjections(service);
    if (requestQueues.length(service) > 0) {
        scheduleWake(service, draft.atMs);
    }
};

/** Applies a VM list unless it is older than the current one. */
export const onVmListRead = (
    draft: RoutingDraft,
    opts: { readonly vmList: VmList; readonly serviceNames: readonly string[]; },
): void => {
    const { vmList } = opts;
    if (draft.vmListAsOfMs !== undefined && vmList.asOfMs < draft.vmListAsOfMs) {
        return;
    }
    draft.vmListAsOfMs = vmList.asOfMs;
    const vmsByService = new Map<string, Vm[]>(opts.serviceNames.map(name => [name, []]));
    for (const vm of vmList.vms) {
        if (vm.role !== ENTRY_ROLE) {
            const vms = vmsByService.get(vm.role) ?? [];
            vmsByService.set(vm.role, vms);
            // An address that is listed twice must not get two entries.
            if (!vms.some(other => other.address === vm.address)) {
                vms.push(vm);
            }
        }
    }
    const addressServices = new Map<string, string>();
    for (const [name, vms] of vmsByService) {
        if (draft.service(name) === undefined) {
            draft.addService(createService(name));
        }
        const service = draft.service(name);
        if (service !== undefined) {
            updateServers(draft, service, { vms, asOfMs: vmList.asOfMs });
            for (const server of service.servers) {
                addressServices.set(server.address, name);
            }
        }
    }
    draft.addressServices = addressServices;
};
