// Compares the selection policies on simulated backend servers: npx tsx routing/state/bench/policies-model.ts
import type { SelectionPolicyName } from "@marigoldstall/routing.policy";
import { parseArgs } from "node:util";
import type { ModelResult } from "./model-result.js";
import { ModelWorkload } from "./model-workload.js";
import { runCentralQueue } from "./run-central-queue.js";
import { runFleet } from "./run-fleet.js";

const { values } = parseArgs({
    options: {
        policies: { type: "string", default: "random,round-robin,least-outstanding,power-of-two-choices,slot-aware" },
        loads: { type: "string", default: "0.5,0.7,0.85,0.95" },
        seeds: { type: "string", default: "1,2,3" },
        distributions: { type: "string", default: "exponential,lognormal" },
        scenarios: { type: "string", default: "steady,faults" },
        probes: { type: "string", default: "20" },
        "report-lag-ms": { type: "string", default: "0" },
        // `attempt` draws a service time for each attempt, as the stand-in does; `request` draws one for all of them.
        "service-times": { type: "string", default: "attempt" },
        daemons: { type: "string", default: "13" },
        servers: { type: "string", default: "12" },
    },
});
const DURATION_MS = 50_000;
const WARM_UP_MS = 5000;
const DRAIN_MS = 30_000;
const daemons = Number(values.daemons);
const servers = Number(values.servers);
const reportLagMs = Number(values["report-lag-ms"]);

const percentile = (sorted: readonly number[], share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;

const formatResults = (results: readonly ModelResult[]): readonly string[] => {
    const urgent = results.flatMap(result => result.urgentMs).sort((left, right) => left - right);
    const normal = results.flatMap(result => result.normalMs).sort((left, right) => left - right);
    const patient = results.flatMap(result => result.patientMs).sort((left, right) => left - right);
    const requests = results.reduce((sum, result) => sum + result.requests, 0);
    const attempts = results.reduce((sum, result) => sum + result.attempts, 0);
    const notCompleted = results.reduce((sum, result) => sum + result.notCompleted, 0);
    return [
        ...[0.5, 0.99, 0.999].map(share => percentile(urgent, share).toFixed(1)),
        percentile(normal, 0.99).toFixed(1),
        percentile(patient, 0.99).toFixed(1),
        (attempts / requests).toFixed(3),
        String(notCompleted),
    ];
};

const startedAtMs = performance.now();
console.log(
    "| scenario | service time | load | policy | urgent p50 | p99 | p99.9 | p99 / central | normal p99 "
        + "| patient p99 | attempts per request | not completed |",
);
console.log("|" + " --- |".repeat(12));
for (const scenario of values.scenarios.split(",")) {
    const faults = scenario === "faults";
    for (const distribution of values.distributions.split(",")) {
        for (const load of values.loads.split(",").map(Number)) {
            const workloads = values.seeds.split(",").map(Number).map(seed => ({
                seed,
                workload: new ModelWorkload({
                    seed,
                    load,
                    distribution: distribution === "lognormal" ? "lognormal" : "exponential",
                    durationMs: DURATION_MS,
                    daemons,
                    slots: servers * 2,
                    sameForAllAttempts: values["service-times"] === "request",
                }),
            }));
            const commonOptions = { servers, faults, reportLagMs, warmUpMs: WARM_UP_MS, endMs: DURATION_MS + DRAIN_MS };
            const printRow = (
                policy: string,
                results: readonly ModelResult[],
                centralP99: number | undefined,
            ): number => {
                const [p50, p99, p999, ...others] = formatResults(results);
                const ratio = centralP99 === undefined ? "1.00" : (Number(p99) / centralP99).toFixed(2);
                const cells = [scenario, distribution, load, policy, p50, p99, p999, ratio, ...others];
                console.log(`| ${cells.join(" | ")} |`);
                return Number(p99);
            };
            const centralP99 = printRow(
                "central queue",
                workloads.map(({ workload }) => runCentralQueue(workload, commonOptions)),
                undefined,
            );
            for (const policy of values.policies.split(",") as SelectionPolicyName[]) {
                const results = workloads.map(({ seed, workload }) =>
                    runFleet(workload, {
                        ...commonOptions,
                        policy,
                        daemons,
                        seed,
                        probesPerSecond: Number(values.probes),
                    })
                );
                printRow(policy, results, centralP99);
            }
        }
    }
}
console.error(`took ${((performance.now() - startedAtMs) / 1000).toFixed(1)} s`);
