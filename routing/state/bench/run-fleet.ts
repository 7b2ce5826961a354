import type { Urgency } from "@marigoldstall/core.types";
import type { SelectionPolicyName } from "@marigoldstall/routing.policy";
import { ModelDaemon } from "./model-daemon.js";
import { ModelRandom } from "./model-random.js";
import type { ModelResult } from "./model-result.js";
import { ModelSite } from "./model-site.js";
import type { ModelWorkload } from "./model-workload.js";

const GOSSIP_DELAY_MS = 2;
const GOSSIP_PEERS = 3;

/** Simulates several daemons that use the same policy and share the backend servers. */
export const runFleet = (
    workload: ModelWorkload,
    opts: {
        readonly policy: SelectionPolicyName;
        readonly daemons: number;
        readonly servers: number;
        readonly faults: boolean;
        readonly reportLagMs: number;
        readonly probesPerSecond: number;
        readonly seed: number;
        readonly warmUpMs: number;
        readonly endMs: number;
    },
): ModelResult => {
    const site = new ModelSite(opts);
    const { events } = site;
    const random = new ModelRandom(opts.seed + 1);
    const latencies: Record<Urgency, number[]> = { urgent: [], normal: [], patient: [] };
    let completed = 0;
    const daemons: ModelDaemon[] = [];
    for (let index = 0; index < opts.daemons; index += 1) {
        daemons.push(
            new ModelDaemon(site, {
                index,
                policy: opts.policy,
                random,
                onCompleted: (request, latencyMs) => {
                    if (request.atMs >= opts.warmUpMs) {
                        completed += 1;
                        latencies[request.targets.urgency].push(latencyMs);
                    }
                },
                onEvidence: evidence => {
                    events.schedule(GOSSIP_DELAY_MS, () => {
                        for (const peer of daemons) {
                            peer.receive({ type: "evidence-received", evidence: [evidence] });
                        }
                    });
                },
            }),
        );
    }
    const pickDaemon = (): ModelDaemon | undefined => daemons[Math.floor(random.next() * daemons.length)];
    const repeatEvery = (intervalMs: number, callback: () => void): void => {
        events.schedule(intervalMs, () => {
            callback();
            repeatEvery(intervalMs, callback);
        });
    };
    if (opts.probesPerSecond > 0) {
        repeatEvery(1000 / opts.probesPerSecond, () => pickDaemon()?.probe());
    }
    repeatEvery(1000, () => {
        for (const daemon of daemons) {
            const pressure = daemon.pressure();
            for (let peer = 0; peer < GOSSIP_PEERS; peer += 1) {
                pickDaemon()?.receive({ type: "pressure-received", pressure });
            }
        }
    });
    for (const request of workload.requests) {
        events.schedule(request.atMs, () => daemons[request.daemon]?.receiveRequest(request));
    }
    events.runUntil(opts.endMs);
    return {
        urgentMs: latencies.urgent,
        normalMs: latencies.normal,
        patientMs: latencies.patient,
        requests: workload.requests.length,
        attempts: daemons.reduce((sum, daemon) => sum + daemon.attempts, 0),
        notCompleted: workload.requests.filter(request => request.atMs >= opts.warmUpMs).length - completed,
    };
};
