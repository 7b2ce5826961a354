import type { ClassTargets } from "@marigoldstall/core.types";
import { ModelRandom } from "./model-random.js";

type ModelRequest = {
    readonly id: string;
    readonly atMs: number;
    readonly daemon: number;
    readonly targets: ClassTargets;
    /** Service time of each attempt. */
    readonly serviceMs: readonly number[];
};

type WorkloadOptions = {
    readonly seed: number;
    /** Fraction of all slots that the arrivals keep busy while every backend server runs at its normal speed. */
    readonly load: number;
    readonly distribution: "exponential" | "lognormal";
    readonly durationMs: number;
    readonly daemons: number;
    readonly slots: number;
    /** Whether all attempts of a request have the same service time, so that a hedge gains nothing from a new draw. */
    readonly sameForAllAttempts: boolean;
};

const MEAN_SERVICE_MS = 20;
const ATTEMPTS_PER_REQUEST = 8;

const classOf = (name: string, changes: Partial<ClassTargets>): ClassTargets => ({
    name,
    service: "statusdesk",
    urgency: "urgent",
    repeatable: true,
    lateness: { percentile: 99, withinMs: 250 },
    turnedAwayAtMostPercent: 0.5,
    match: [],
    ...changes,
});

/** Arrival and service times, identical for all policies and for the central queue. */
export class ModelWorkload {
    static readonly classes: readonly ClassTargets[] = [
        classOf("check", {}),
        classOf("issue", { urgency: "normal", repeatable: false, lateness: { percentile: 99, withinMs: 1000 } }),
        classOf("export", { urgency: "patient", lateness: { percentile: 95, withinMs: 10_000 } }),
    ];

    readonly requests: readonly ModelRequest[];

    constructor(opts: WorkloadOptions) {
        const random = new ModelRandom(opts.seed);
        const meanGapMs = MEAN_SERVICE_MS / (opts.load * opts.slots);
        const requests: ModelRequest[] = [];
        for (let atMs = random.exponential(meanGapMs); atMs < opts.durationMs; atMs += random.exponential(meanGapMs)) {
            const draw = random.next();
            const [check, issue, patient] = ModelWorkload.classes;
            const targets = draw < 0.6 ? check : draw < 0.85 ? issue : patient;
            if (targets !== undefined) {
                const drawn = Array.from(
                    { length: ATTEMPTS_PER_REQUEST },
                    () => random[opts.distribution](MEAN_SERVICE_MS),
                );
                requests.push({
                    id: `q${requests.length}`,
                    atMs,
                    daemon: Math.floor(random.next() * opts.daemons),
                    targets,
                    serviceMs: opts.sameForAllAttempts ? drawn.map(() => drawn[0] ?? 0) : drawn,
                });
            }
        }
        this.requests = requests;
    }
}
