import type { FleetScenario } from "./fleet-scenario.js";
import { makeKey } from "./make-key.js";
import type { PlannedCall } from "./planned-call.js";
import type { SeededRandom } from "./seeded-random.js";

/** Time before the end of a simulation in which no new key is created, so that pending calls can finish. */
const QUIET_MS = 8_000;

/** Concurrent and later calls that repeat a key: their probability, and the time within which they follow, in ms. */
const REPEATS = [[0.4, 200], [0.4, 5_000], [0.2, 30_000]] as const;

/** Plans the requests of all callers of a scenario. `startMs` is the Unix time at which the simulation starts. */
export const planCalls = (
    scenario: FleetScenario,
    opts: { readonly random: SeededRandom; readonly startMs: number; },
): readonly PlannedCall[] => {
    const { random } = opts;
    const calls: PlannedCall[] = [];
    const planCall = (key: string, atMs: number): void => {
        calls.push({
            requestId: `request-${calls.length}`,
            key,
            fingerprint: scenario.callerFaults && random.chance(0.02) ? "other" : "same",
            atMs,
            deadlineAtMs: atMs + 2_000 + random.next() * 4_000,
            daemonIndex: random.nextInteger(scenario.daemonCount),
            cancelAfterMs: scenario.callerFaults && random.chance(0.05) ? random.next() * 50 : undefined,
        });
    };
    for (let index = 0; index < scenario.keyCount; index += 1) {
        const atMs = scenario.keysFromMs + random.next() * (scenario.durationMs - scenario.keysFromMs - QUIET_MS);
        const isSkewed = scenario.callerFaults && random.chance(0.2);
        const keyTimeMs = opts.startMs + atMs + (isSkewed ? (random.next() * 2 - 1) * 4_000 : 0);
        const key = makeKey(keyTimeMs, index * 0x1000000 + random.nextInteger(0x1000000));
        planCall(key, atMs);
        for (const [chance, withinMs] of scenario.callerFaults ? REPEATS : []) {
            if (random.chance(chance)) {
                planCall(key, atMs + random.next() * withinMs);
            }
        }
    }
    return calls;
};
