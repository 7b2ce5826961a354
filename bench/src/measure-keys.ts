import { createLedgerState, reduceLedger } from "@marigoldstall/requests.ledger";
import type { LedgerEvent, LedgerState } from "@marigoldstall/requests.ledger";
import type { CostRow } from "./cost-row.js";
import { fleetMember } from "./fleet-member.js";
import { measureHeap } from "./measure-heap.js";
import { timeProcessor } from "./time-processor.js";

const START_MS = 1_800_000_000_000;
const BOUND_MS = 6_000;
const MEASURED_CLAIMS = 5_000;
const BODY_BYTES = 200;
const MICROSECONDS_PER_MS = 1000;

const makeKey = (keyTimeMs: number, tail: number): string => {
    const time = keyTimeMs.toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail.toString(16).padStart(12, "0")}`;
};

class Owner {
    state: LedgerState;
    private readonly runner = fleetMember(2).daemon;
    private count = 0;

    constructor() {
        const self = fleetMember(0).daemon;
        this.state = createLedgerState({ self, shareOf: () => 0 });
        const boundMs = START_MS + BOUND_MS;
        this.send({
            type: "terms-changed",
            atMs: 0,
            wallMs: START_MS,
            terms: [{
                share: 0,
                term: 1,
                owner: self,
                guardian: undefined,
                fromMs: START_MS - 1,
                capMs: boundMs,
                boundMs,
            }],
            ownBoundsMs: new Map([[0, boundMs]]),
        });
    }

    send(event: LedgerEvent) {
        const transition = reduceLedger(this.state, event);
        this.state = transition.state;
        return transition.effects;
    }

    /** Claims and settles keys that nobody has used before. */
    run(keys: number): void {
        for (let index = 0; index < keys; index += 1) {
            this.count += 1;
            const request = {
                service: "crewcall",
                key: makeKey(START_MS + this.count % BOUND_MS, this.count),
                requestId: `entry-moste-1-000000000002-${this.count}`,
                runner: this.runner,
            };
            const moment = { atMs: 1, wallMs: START_MS + 1 };
            const effects = this.send({
                type: "claim-received",
                ...moment,
                rpcId: "1",
                request: { ...request, fingerprint: this.count.toString(16).padStart(32, "0"), remainingMs: 1000 },
            });
            if (!effects.some(effect => effect.type === "answer-claim" && effect.reply.type === "granted")) {
                throw new Error("a claim was not granted");
            }
            const bodyBase64 = Buffer.alloc(BODY_BYTES, this.count).toString("base64");
            const response = { statusCode: 200, headers: [["content-type", "text/plain"]] as const, bodyBase64 };
            this.send({
                type: "settle-received",
                ...moment,
                rpcId: "1",
                request: { ...request, outcome: "completed", response },
            });
        }
    }
}

/** Cost of a claim and its settlement at an owner that keeps this many keys already. */
export const measureKeys = async (keys: number): Promise<readonly CostRow[]> => {
    const owner = new Owner();
    owner.run(keys);
    const usedMs = await timeProcessor(() => owner.run(MEASURED_CLAIMS));
    const heap = measureHeap(() => {
        const filled = new Owner();
        filled.run(keys);
        return filled;
    });
    const part = "idempotency keys";
    const at = `${keys} keys kept`;
    return [
        {
            part,
            at,
            quantity: "processor µs of a claim and its settlement, reducer of the owner",
            value: (usedMs / MEASURED_CLAIMS * MICROSECONDS_PER_MS).toFixed(1),
        },
        {
            part,
            at,
            quantity: `heap bytes a key with a response of ${BODY_BYTES} bytes`,
            value: (heap / keys).toFixed(0),
        },
    ];
};
