import { CheapestServers } from "./cheapest-servers.js";
import { countOccupied } from "./count-occupied.js";
import { decayFailures } from "./decay-failures.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import type { DispatchState } from "./dispatch-state.js";
import { estimateServer } from "./estimate-server.js";
import { isColdLimited } from "./is-cold-limited.js";
import type { LoadSelection } from "./load-selection.js";
import { selectEligibleServers } from "./select-eligible-servers.js";
import { selectPermitRate } from "./select-permit-rate.js";
import type { ServerState } from "./server-state.js";

interface LoadQuestion {
    readonly service: string;
    readonly vmId: string;
    readonly workMs: number;
    readonly responseBytes: number;
    readonly connectedInstanceIds: readonly string[];
}

const describeServer = (server: ServerState, opts: {
    readonly atMs: number;
    readonly vmId: string;
    readonly tellsWarmUp: boolean;
}) => {
    const { load, measuredAtMs, unreportedSends, isUsed, coldUntilMs, warmUpStatedAtMs } = server;
    return load === undefined ? [] : [{
        instanceId: server.server.instanceId,
        load,
        measuredAtMs,
        othersSentAtMs: unreportedSends
            .filter(({ vmId, sentAtMs, expectedUntilMs = Infinity }) =>
                vmId !== opts.vmId && opts.atMs - sentAtMs <= DISPATCH_LIMITS.unreportedSendValidForMs
                && opts.atMs <= expectedUntilMs
            )
            .map(({ sentAtMs }) => sentAtMs),
        failures: decayFailures(server, opts.atMs),
        isUnused: !isUsed,
        ...opts.tellsWarmUp && warmUpStatedAtMs > -Infinity
            ? { warmUp: { coldUntilMs, statedAtMs: warmUpStatedAtMs } }
            : {},
    }];
};

const rankServers = (
    state: DispatchState,
    service: DispatchService,
    opts: { readonly question: LoadQuestion; readonly atMs: number; readonly random: () => number; },
): readonly ServerState[] => {
    const { atMs, question: { workMs, responseBytes } } = opts;
    const best = new CheapestServers({ maxCount: DISPATCH_LIMITS.answeredServers });
    const estimateOpts = { atMs, zones: state, workMs, responseBytes };
    for (const server of selectEligibleServers(service, { atMs, state })) {
        const { commonCostMs } = estimateServer(service, server, estimateOpts);
        best.add(server, commonCostMs + opts.random() * DISPATCH_LIMITS.costJitterMs);
    }
    return best.servers;
};

/**
 * Answers the load query of another VM: the servers that suit its request best by what is known here, and those to
 * which it has a connection. Nothing is reserved, the VM decides itself.
 */
export const selectLoads = (
    state: DispatchState,
    question: LoadQuestion,
    opts: { readonly atMs: number; readonly random: () => number; },
): (LoadSelection & { readonly bestInstanceId: string | undefined; }) | undefined => {
    const service = state.services.get(question.service);
    if (service === undefined) {
        return undefined;
    }
    const { atMs } = opts;
    const { vmId, connectedInstanceIds } = question;
    const tellsWarmUp = isColdLimited(state, question.service);
    const best = rankServers(state, service, { ...opts, question });
    const connected = connectedInstanceIds
        .flatMap(instanceId => service.servers.get(instanceId) ?? [])
        .filter(({ server }) => !state.evacuatedZones.has(server.availabilityZone));
    const selected = new Set([...best, ...connected]);
    return {
        service: question.service,
        bestInstanceId: best.find(server =>
            selectPermitRate(state, server, atMs) === undefined && countOccupied(server, atMs) < server.server.slots
        )?.server.instanceId,
        averageSlowness: service.slowness,
        servers: [...selected].flatMap(server => describeServer(server, { atMs, vmId, tellsWarmUp })),
    };
};
