import type { ShareTerm } from "@marigoldstall/fleet.ownership";
import {
    type ClaimReply,
    type ClaimRequest,
    createLedgerState,
    type LedgerEffect,
    type LedgerEvent,
    type LedgerState,
    type LedgerStateOptions,
    reduceLedger,
    type SettleRequest,
} from "@marigoldstall/requests.ledger";
import { makeKey } from "./make-key.js";

const START_MS = 1_800_000_000_000;

/** One daemon's ledger under test. All keys are in share 0; key times count from the start of the test. */
export class LedgerDriver {
    static readonly self = { vmId: "alpha", incarnation: "1" };
    static readonly other = { vmId: "beta", incarnation: "1" };

    state: LedgerState;
    atMs = 0;
    private rpcCount = 0;

    constructor(opts: Partial<LedgerStateOptions> = {}) {
        this.state = createLedgerState({ self: LedgerDriver.self, shareOf: () => 0, ...opts });
    }

    static key(keyTimeMs: number, tail = 0): string {
        return makeKey(START_MS + keyTimeMs, tail);
    }

    static term(opts: Partial<ShareTerm> = {}): ShareTerm {
        const fromMs = START_MS + (opts.fromMs ?? 0);
        const boundMs = START_MS + (opts.boundMs ?? 10_000);
        const { self, other } = LedgerDriver;
        return { share: 0, term: 1, owner: self, guardian: other, capMs: boundMs, ...opts, fromMs, boundMs };
    }

    send(event: LedgerEvent): readonly LedgerEffect[] {
        const { state, effects } = reduceLedger(this.state, event);
        this.state = state;
        return effects.filter(effect => effect.type !== "log-decision");
    }

    moment() {
        return { atMs: this.atMs, wallMs: START_MS + this.atMs };
    }

    tick(forMs: number): readonly LedgerEffect[] {
        this.atMs += forMs;
        return this.send({ type: "tick", ...this.moment() });
    }

    terms(...terms: readonly ShareTerm[]): readonly LedgerEffect[] {
        const current = terms.at(-1);
        const isOwn = current?.owner === LedgerDriver.self;
        const ownBoundsMs = new Map(isOwn ? [[0, current.boundMs] as const] : []);
        return this.send({ type: "terms-changed", ...this.moment(), terms, ownBoundsMs });
    }

    /** Claims as another daemon does; the reply is undefined while the claim waits. */
    claim(opts: Partial<ClaimRequest> = {}): ClaimReply | undefined {
        this.rpcCount += 1;
        const request: ClaimRequest = {
            service: "crewcall",
            key: LedgerDriver.key(1_000),
            fingerprint: "same",
            requestId: "one",
            runner: LedgerDriver.other,
            remainingMs: 1_000,
            ...opts,
        };
        const effects = this.send({
            type: "claim-received",
            ...this.moment(),
            rpcId: `rpc-${this.rpcCount}`,
            request,
        });
        return LedgerDriver.replies(effects)[0];
    }

    settle(opts: Partial<SettleRequest> = {}): void {
        const request: SettleRequest = {
            service: "crewcall",
            key: LedgerDriver.key(1_000),
            requestId: "one",
            runner: LedgerDriver.other,
            outcome: "not-run",
            response: undefined,
            ...opts,
        };
        this.send({ type: "settle-received", ...this.moment(), rpcId: "settle", request });
    }

    arrive(opts: { key?: string; requestId?: string; forMs?: number; fingerprint?: string; } = {}) {
        return this.send({
            type: "keyed-request-arrived",
            ...this.moment(),
            requestId: opts.requestId ?? "mine",
            service: "crewcall",
            key: opts.key ?? LedgerDriver.key(1_000),
            fingerprint: opts.fingerprint ?? "same",
            deadlineAtMs: this.atMs + (opts.forMs ?? 5_000),
        });
    }

    answer(reply: ClaimReply | undefined, owner = LedgerDriver.other): readonly LedgerEffect[] {
        return this.send({ type: "claim-answered", ...this.moment(), requestId: "mine", owner, reply });
    }

    static replies(effects: readonly LedgerEffect[]): readonly ClaimReply[] {
        return effects.flatMap(effect => effect.type === "answer-claim" ? [effect.reply] : []);
    }

    static types(effects: readonly LedgerEffect[]): readonly string[] {
        return effects.map(effect => effect.type);
    }
}
