import { createLedgerState, reduceLedger } from "@marigoldstall/requests.ledger";
import type { LedgerEvent, LedgerState } from "@marigoldstall/requests.ledger";
import type { CostRow } from "./cost-row.js";
import { generateMember } from "./generate-member.js";
import { measureCpuTime } from "./measure-cpu-time.js";
import { measureHeap } from "./measure-heap.js";

const START_WALL_MS = 1_800_000_000_000;
const OWNERSHIP_BOUND_MS = 6_000;
const MEASURED_CLAIMS = 5_000;
const BODY_BYTES = 200;
const MICROSECONDS_PER_MS = 1000;

const buildKey = (keyTimeMs: number, suffix: number): string => {
    const time = keyTimeMs.toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${suffix.toString(16).padStart(12, "0")}`;
};

class SimulatedOwner {
    state: LedgerState;
    private readonly runner = generateMember(2).daemon;
    private keyCount = 0;

    constructor() {
        const self = generateMember(0).daemon;
        this.state = createLedgerState({ self, shareOf: () => 0 });
        const boundMs = START_WALL_MS + OWNERSHIP_BOUND_MS;
        this.reduce({
            type: "terms-changed",
            atMs: 0,
            wallMs: START_WALL_MS,
            terms: [{
                share: 0,
                term: 1,
                owner: self,
                guardian: undefined,
                fromMs: START_WALL_MS - 1,
                capMs: boundMs,
                boundMs,
            }],
            ownBoundsMs: new Map([[0, boundMs]]),
        });
    }

    reduce(event: LedgerEvent) {
        const transition = reduceLedger(this.state, event);
        this.state = transition.state;
        return transition.effects;
    }

    /** Claims and settles new keys. */
    claimAndSettle(newKeyCount: number): void {
        for (let index = 0; index < newKeyCount; index += 1) {
            this.keyCount += 1;
            const request = {
                service: "crewcall",
                key: buildKey(START_WALL_MS + this.keyCount % OWNERSHIP_BOUND_MS, this.keyCount),
                requestId: `entry-moste-1-000000000002-${this.keyCount}`,
                runner: this.runner,
            };
            const times = { atMs: 1, wallMs: START_WALL_MS + 1 };
            const effects = this.reduce({
                type: "claim-received",
                ...times,
                rpcId: "1",
                request: { ...request, fingerprint: this.keyCount.toString(16).padStart(32, "0"), remainingMs: 1000 },
            });
            if (!effects.some(effect => effect.type === "answer-claim" && effect.reply.type === "granted")) {
                throw new Error("the claim of a new key was not granted");
            }
            const bodyBase64 = Buffer.alloc(BODY_BYTES, this.keyCount).toString("base64");
            const response = { statusCode: 200, headers: [["content-type", "text/plain"]] as const, bodyBase64 };
            this.reduce({
                type: "settle-received",
                ...times,
                rpcId: "1",
                request: { ...request, outcome: "completed", response },
            });
        }
    }
}

/** Measures the cost of a claim and its settlement on an owner that already stores the given number of keys. */
export const measureIdempotencyKeys = async (keyCount: number): Promise<readonly CostRow[]> => {
    const owner = new SimulatedOwner();
    owner.claimAndSettle(keyCount);
    const cpuMs = await measureCpuTime(() => owner.claimAndSettle(MEASURED_CLAIMS));
    const heapBytes = measureHeap(() => {
        const filledOwner = new SimulatedOwner();
        filledOwner.claimAndSettle(keyCount);
        return filledOwner;
    });
    const part = "idempotency keys";
    const at = `${keyCount} keys kept`;
    return [
        {
            part,
            at,
            quantity: "processor µs of a claim and its settlement, reducer of the owner",
            value: (cpuMs / MEASURED_CLAIMS * MICROSECONDS_PER_MS).toFixed(1),
        },
        {
            part,
            at,
            quantity: `heap bytes a key with a response of ${BODY_BYTES} bytes`,
            value: (heapBytes / keyCount).toFixed(0),
        },
    ];
};
