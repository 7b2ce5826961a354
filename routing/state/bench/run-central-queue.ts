import type { Urgency } from "@marigoldstall/core.types";
import type { ModelResult } from "./model-result.js";
import type { ModelServer } from "./model-server.js";
import { ModelSite } from "./model-site.js";
import type { ModelWorkload } from "./model-workload.js";

type QueuedRequest = ModelWorkload["requests"][number];

const URGENCIES: readonly Urgency[] = ["urgent", "normal", "patient"];
// Queue length from which a free slot of a backend server that runs five times slower is worth using.
const MIN_QUEUE_FOR_SLOW_SERVER = 20;

/**
 * Simulates one queue for all requests with perfect, immediate knowledge of every slot and its speed. Only the network
 * to the backend server and back takes time. No real system can achieve this; it is the baseline of the comparison.
 */
export const runCentralQueue = (
    workload: ModelWorkload,
    opts: {
        readonly servers: number;
        readonly faults: boolean;
        readonly reportLagMs: number;
        readonly warmUpMs: number;
        readonly endMs: number;
    },
): ModelResult => {
    const site = new ModelSite(opts);
    const { events } = site;
    const latencies: Record<Urgency, number[]> = { urgent: [], normal: [], patient: [] };
    const queues: Record<Urgency, QueuedRequest[]> = { urgent: [], normal: [], patient: [] };
    const assignedCounts = new Map<ModelServer, number>(site.servers.map(server => [server, 0]));
    let notCompleted = 0;

    const findFree = (zone: string, waiting: number): ModelServer | undefined => {
        const free = site.servers.filter(server =>
            !server.draining && !site.isDown(server) && (assignedCounts.get(server) ?? 0) < 2
            && (server.serviceTimeFactorAt(events.nowMs) === 1 || waiting >= MIN_QUEUE_FOR_SLOW_SERVER)
        );
        return free.find(server => server.availabilityZone === zone && server.serviceTimeFactorAt(events.nowMs) === 1)
            ?? free[0];
    };
    const dispatch = (): void => {
        for (const urgency of URGENCIES) {
            const queue = queues[urgency];
            for (let request = queue[0]; request !== undefined; request = queue[0]) {
                const zone = ModelSite.zoneOf(request.daemon);
                const server = findFree(zone, queues.urgent.length + queues.normal.length + queues.patient.length);
                if (server === undefined) {
                    return;
                }
                queue.shift();
                start(request, server, zone);
            }
        }
    };
    const start = (request: QueuedRequest, server: ModelServer, zone: string): void => {
        const delayMs = site.delayMs(zone, server);
        assignedCounts.set(server, (assignedCounts.get(server) ?? 0) + 1);
        events.schedule(delayMs, () => {
            server.submit({
                id: request.id,
                serviceMs: request.serviceMs[0] ?? 0,
                onEnd: notRun => {
                    assignedCounts.set(server, (assignedCounts.get(server) ?? 0) - 1);
                    if (notRun) {
                        queues[request.targets.urgency].unshift(request);
                    }
                    else if (request.atMs >= opts.warmUpMs) {
                        latencies[request.targets.urgency].push(events.nowMs + delayMs - request.atMs);
                        notCompleted -= 1;
                    }
                    dispatch();
                },
            });
        });
    };
    for (const request of workload.requests) {
        notCompleted += request.atMs >= opts.warmUpMs ? 1 : 0;
        events.schedule(request.atMs, () => {
            queues[request.targets.urgency].push(request);
            dispatch();
        });
    }
    events.runUntil(opts.endMs);
    return {
        urgentMs: latencies.urgent,
        normalMs: latencies.normal,
        patientMs: latencies.patient,
        requests: workload.requests.length,
        attempts: workload.requests.length,
        notCompleted,
    };
};
