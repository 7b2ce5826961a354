import type { Candidate } from "@marigoldstall/routing.policy";
import type { BackendServerState } from "./backend-server-state.js";
import { estimateOthersLoad } from "./estimate-others-load.js";
import { estimateRelativeLatency } from "./estimate-relative-latency.js";
import { isLeaving } from "./is-leaving.js";
import { reportTrusts } from "./report-trusts.js";
import type { RequestState } from "./request-state.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

const isOnTrial = (server: BackendServerState, atMs: number): boolean =>
    server.leavingDoubted || server.ejectedUntilMs !== undefined && server.ejectedUntilMs <= atMs;

const isUsable = (server: BackendServerState, atMs: number): boolean =>
    (!isLeaving(server) || server.leavingDoubted)
    && (server.ejectedUntilMs === undefined || server.ejectedUntilMs <= atMs);

/**
 * Backend servers that may be chosen for a request. One whose ejection is over, or whose leaving is in doubt, takes
 * one repeatable request at a time; it comes back alone in `trial`, since it returns only if it gets a request.
 */
export const buildCandidates = (
    service: ServiceState,
    request: RequestState,
    opts: { readonly atMs: number; readonly availabilityZone: string; },
): { readonly candidates: readonly Candidate[]; readonly trial: Candidate | undefined; } => {
    const { atMs } = opts;
    const mayTry = request.classTargets.repeatable && request.bodyReplayable && request.callerAttempt <= 1
        && request.attemptsStarted === 0;
    const candidates: Candidate[] = [];
    const tried: Candidate[] = [];
    let trial: Candidate | undefined;
    const trust = reportTrusts.factor(service.reportTrust);
    for (const server of service.servers) {
        if (!isUsable(server, atMs)) {
            continue;
        }
        const onTrial = isOnTrial(server, atMs);
        // Without probes and repeatable requests a backend server would stay ejected for ever.
        const overdue = server.ejectedUntilMs !== undefined
            && server.ejectedUntilMs + ROUTING_LIMITS.ejectionMaxMs <= atMs;
        if (onTrial && (!mayTry && !overdue || server.ownInFlight > 0)) {
            continue;
        }
        const othersLoad = estimateOthersLoad(service, server, { atMs, trust });
        const relativeLatency = estimateRelativeLatency(service, server, atMs);
        const candidate: Candidate = {
            address: server.address,
            availabilityZone: server.availabilityZone,
            sameZone: server.availabilityZone === opts.availabilityZone,
            ownInFlight: server.ownInFlight,
            othersLoad,
            trustedOthersLoad: trust * othersLoad,
            slots: server.slots,
            relativeLatency,
            cold: server.coldUntilMs > atMs,
            suspect: onTrial || server.absentSinceListMs !== undefined || server.suspectUntilMs > atMs
                || relativeLatency > ROUTING_LIMITS.stragglerFactor,
        };
        if (onTrial) {
            trial = candidate;
        }
        else if (request.triedAddresses.includes(server.address)) {
            tried.push(candidate);
        }
        else {
            candidates.push(candidate);
        }
    }
    return { candidates: candidates.length === 0 ? tried : candidates, trial };
};
