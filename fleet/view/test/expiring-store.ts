import type { ViewEffect } from "@marigoldstall/fleet.view";
import { ViewHarness } from "./view-harness.js";

const { registered, removed } = ViewHarness;

const TICK_MS = 10;
const HEARTBEAT_MS = 1_500;
const SWEEP_INTERVAL_MS = HEARTBEAT_MS / 2;
const EXPIRY_HEARTBEATS = 3;
const COPY_END_OFFSET = 12;
const LATEST_END_OFFSET = 41;

interface ExpiringStoreOptions {
    /** When the store looks for silent registrations first. It does so twice a heartbeat. */
    readonly firstSweepAtMs: number;
    /** Whether server `b`, which is in the copy, has left. */
    readonly hasLeft: boolean;
}

/** Store in virtual time that removes registrations after three heartbeats of silence, and a view that reads it. */
export class ExpiringStore {
    readonly view = new ViewHarness();
    atMs = 0;
    /** Whether calls get no response. The silence of servers does not count meanwhile. */
    isAway = false;
    private readonly opts: ExpiringStoreOptions;
    private silentMs = 0;
    private isRegistered = false;
    private endOffset = LATEST_END_OFFSET;

    constructor(opts: ExpiringStoreOptions) {
        this.opts = opts;
        this.view.era = 1;
        this.view.list(0, LATEST_END_OFFSET - 1, [registered(38, "a"), registered(39, "b")]);
        this.view.read(450, LATEST_END_OFFSET, [removed(LATEST_END_OFFSET - 1, "b")]);
        this.atMs = 450;
    }

    /** Restores the store from a copy that contains server `b`, whose silence starts anew. */
    restore(): void {
        this.view.era += 1;
        this.silentMs = 0;
        this.isRegistered = true;
        this.endOffset = COPY_END_OFFSET;
    }

    /** Whether the store holds a registration of server `b`. */
    get holdsServer(): boolean {
        return this.isRegistered;
    }

    get usesServer(): boolean {
        return this.view.ids.includes("b");
    }

    run(durationMs: number, onTick: () => void = () => undefined): void {
        const endAtMs = this.atMs + durationMs;
        while (this.atMs < endAtMs) {
            this.atMs += TICK_MS;
            this.expire();
            for (const effect of this.view.tick(this.atMs)) {
                this.respond(effect);
            }
            onTick();
        }
    }

    private expire(): void {
        this.silentMs += this.isAway ? 0 : TICK_MS;
        const isSweep = (this.atMs - this.opts.firstSweepAtMs) % SWEEP_INTERVAL_MS === 0;
        const isDue = this.silentMs > EXPIRY_HEARTBEATS * HEARTBEAT_MS;
        if (this.isRegistered && this.opts.hasLeft && isSweep && !this.isAway && isDue) {
            this.isRegistered = false;
            this.endOffset += 1;
        }
    }

    private respond(effect: ViewEffect): void {
        if (effect.type !== "read-store" || effect.topic !== "registrations") {
            return;
        }
        const { view, atMs, endOffset } = this;
        if (this.isAway) {
            view.fail(atMs);
        }
        else if (effect.from === undefined) {
            view.list(atMs, endOffset, [registered(3, "a"), ...this.isRegistered ? [registered(4, "b")] : []]);
        }
        else if (effect.from.offset > endOffset) {
            view.apply({ type: "store-read-failed", atMs, topic: "registrations", isExpired: true, era: view.era });
        }
        else {
            view.read(atMs, endOffset, effect.from.offset < endOffset ? [removed(endOffset - 1, "b")] : []);
        }
    }
}
