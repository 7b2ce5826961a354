import {
    createOwnershipState,
    type OwnershipEffect,
    type OwnershipEvent,
    type OwnershipMember,
    type OwnershipState,
    reduceOwnership,
    selectNextOffset,
    selectTerms,
} from "@marigoldstall/fleet.ownership";

const START_MS = 1_800_000_000_000;

/** Drives the ownership state of one daemon with a clock and an in-memory log. */
export class OwnershipDriver {
    state: OwnershipState;
    effects: OwnershipEffect[] = [];
    atMs = 0;
    readonly records: unknown[] = [];
    firstOffset = 0;
    era = 0;

    constructor(self: OwnershipMember) {
        this.state = createOwnershipState({ self, logRetentionMs: 3_600_000 });
    }

    send(event: OwnershipEvent): readonly OwnershipEffect[] {
        const { state, effects } = reduceOwnership(this.state, event);
        this.state = state;
        this.effects.push(...effects);
        return effects;
    }

    read(): readonly OwnershipEffect[] {
        const from = Math.max(selectNextOffset(this.state), this.firstOffset);
        return this.send({
            type: "log-read",
            atMs: this.atMs,
            wallMs: START_MS + this.atMs,
            era: this.era,
            firstOffset: this.firstOffset,
            nextOffset: this.records.length,
            records: this.records.slice(from).map((value, index) => ({ offset: from + index, value })),
        });
    }

    append(value: unknown): void {
        this.records.push(value);
        this.read();
    }

    /** Restores the log from a copy that holds the first records only. */
    restore(recordCount: number): void {
        this.records.length = recordCount;
        this.era += 1;
    }

    tick(forMs: number): readonly OwnershipEffect[] {
        this.atMs += forMs;
        return this.send({ type: "tick", atMs: this.atMs, wallMs: START_MS + this.atMs, random: 0.5 });
    }

    term(share = 0) {
        return selectTerms(this.state).filter(term => term.share === share).at(-1);
    }
}
