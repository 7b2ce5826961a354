import type { Candidate } from "@marigoldstall/routing.policy";
import type { BackendServerState } from "./backend-server-state.js";
import { estimateOthersLoad } from "./estimate-others-load.js";
import { estimateRelativeLatency } from "./estimate-relative-latency.js";
import { isLeaving } from "./is-leaving.js";
import { reportTrusts } from "./report-trusts.js";
import type { RequestState } from "./request-state.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

const requiresTrial = (server: BackendServerState, atMs: number): boolean =>
    server.leavingContradicted || server.ejectedUntilMs !== undefined && server.ejectedUntilMs <= atMs;

const isUsable = (server: BackendServerState, atMs: number): boolean =>
    (!isLeaving(server) || server.leavingContradicted)
    && (server.ejectedUntilMs === undefined || server.ejectedUntilMs <= atMs);

/**
 * Returns the backend servers that may be selected for a request. A server whose ejection has expired, or whose leaving
 * evidence is contradicted, takes one repeatable request at a time. It is returned separately as `trial`,
 * since it can recover only if it gets a request.
 */
export const buildCandidates = (
    service: ServiceState,
    request: RequestState,
    opts: { readonly atMs: number; readonly availabilityZone: string; },
): { readonly candidates: readonly Candidate[]; readonly trial: Candidate | undefined; } => {
    const { atMs } = opts;
    const isTrialEligible = request.classTargets.repeatable && request.bodyReplayable && request.callerAttempt <= 1
        && request.attemptsStarted === 0;
    const candidates: Candidate[] = [];
    const alreadyTried: Candidate[] = [];
    let trial: Candidate | undefined;
    const trust = reportTrusts.factor(service.reportTrust);
    for (const server of service.servers) {
        if (!isUsable(server, atMs)) {
            continue;
        }
        const needsTrial = requiresTrial(server, atMs);
        // Without probes and repeatable requests, a backend server would otherwise stay ejected forever.
        const overdue = server.ejectedUntilMs !== undefined
            && server.ejectedUntilMs + ROUTING_LIMITS.maxEjectionMs <= atMs;
        if (needsTrial && (!isTrialEligible && !overdue || server.ownInFlight > 0)) {
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
            suspect: needsTrial || server.absentSinceListMs !== undefined || server.suspectUntilMs > atMs
                || relativeLatency > ROUTING_LIMITS.stragglerFactor,
        };
        if (needsTrial) {
            trial = candidate;
        }
        else if (request.triedAddresses.includes(server.address)) {
            alreadyTried.push(candidate);
        }
        else {
            candidates.push(candidate);
        }
    }
    return { candidates: candidates.length === 0 ? alreadyTried : candidates, trial };
};
