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

/** Drives the ledger of one daemon. All keys are in share 0, and key times are relative to the start of the test. */
export class LedgerDriver {
    static readonly self = { vmId: "alpha", incarnation: "1" };
    static readonly peer = { vmId: "beta", incarnation: "1" };

    state: LedgerState;
    atMs = 0;
    private rpcCount = 0;

    constructor(opts: Partial<LedgerStateOptions> = {}) {
        this.state = createLedgerState({ self: LedgerDriver.self, shareOf: () => 0, ...opts });
    }

    static key(keyTimeMs: number, suffix = 0): string {
        return makeKey(START_MS + keyTimeMs, suffix);
    }

    static term(opts: Partial<ShareTerm> = {}): ShareTerm {
        const fromMs = START_MS + (opts.fromMs ?? 0);
        const boundMs = START_MS + (opts.boundMs ?? 10_000);
        const { self, peer } = LedgerDriver;
        return { share: 0, term: 1, owner: self, guardian: peer, capMs: boundMs, ...opts, fromMs, boundMs };
    }

    send(event: LedgerEvent): readonly LedgerEffect[] {
        const { state, effects } = reduceLedger(this.state, event);
        this.state = state;
        return effects.filter(effect => effect.type !== "log-decision");
    }

    now() {
        return { atMs: this.atMs, wallMs: START_MS + this.atMs };
    }

    tick(elapsedMs: number): readonly LedgerEffect[] {
        this.atMs += elapsedMs;
        return this.send({ type: "tick", ...this.now() });
    }

    terms(...terms: readonly ShareTerm[]): readonly LedgerEffect[] {
        const current = terms.at(-1);
        const isOwn = current?.owner === LedgerDriver.self;
        const ownBoundsMs = new Map(isOwn ? [[0, current.boundMs] as const] : []);
        return this.send({ type: "terms-changed", ...this.now(), terms, ownBoundsMs });
    }

    /** Sends a claim from another daemon. Returns undefined if the claim waits. */
    claim(opts: Partial<ClaimRequest> = {}): ClaimReply | undefined {
        this.rpcCount += 1;
        const request: ClaimRequest = {
            service: "crewcall",
            key: LedgerDriver.key(1_000),
            fingerprint: "same",
            requestId: "one",
            runner: LedgerDriver.peer,
            remainingMs: 1_000,
            ...opts,
        };
        const effects = this.send({
            type: "claim-received",
            ...this.now(),
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
            runner: LedgerDriver.peer,
            outcome: "not-run",
            response: undefined,
            ...opts,
        };
        this.send({ type: "settle-received", ...this.now(), rpcId: "settle", request });
    }

    receiveRequest(opts: { key?: string; requestId?: string; timeoutMs?: number; fingerprint?: string; } = {}) {
        return this.send({
            type: "keyed-request-arrived",
            ...this.now(),
            requestId: opts.requestId ?? "mine",
            service: "crewcall",
            key: opts.key ?? LedgerDriver.key(1_000),
            fingerprint: opts.fingerprint ?? "same",
            deadlineAtMs: this.atMs + (opts.timeoutMs ?? 5_000),
        });
    }

    receiveClaimReply(reply: ClaimReply | undefined, owner = LedgerDriver.peer): readonly LedgerEffect[] {
        return this.send({ type: "claim-answered", ...this.now(), requestId: "mine", owner, reply });
    }

    static replies(effects: readonly LedgerEffect[]): readonly ClaimReply[] {
        return effects.flatMap(effect => effect.type === "answer-claim" ? [effect.reply] : []);
    }

    static types(effects: readonly LedgerEffect[]): readonly string[] {
        return effects.map(effect => effect.type);
    }
}
