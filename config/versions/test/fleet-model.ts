import {
    createConfigurationState,
    createPublish,
    reduceConfiguration,
    reducePublish,
    selectConfiguration,
    selectNextOffset,
} from "@marigoldstall/config.versions";
import type {
    ConfigurationEvent,
    PublishEffect,
    PublishEvent,
    PublishOutcome,
    PublishState,
} from "@marigoldstall/config.versions";
import { MarigoldstallError } from "@marigoldstall/core.error";
import { expect } from "chai";
import type { Command } from "./command.js";
import { LogModel } from "./log-model.js";

class Publisher {
    readonly publishIds = new Set<string>();
    readonly targetsNumber: number;
    state: PublishState;
    pending: PublishEffect | undefined;
    outcome: PublishOutcome | undefined;

    constructor(targetsNumber: number, start: ReturnType<typeof createPublish>) {
        this.targetsNumber = targetsNumber;
        this.state = start.state;
        this.pending = start.effects[0];
    }
}

class Reader {
    state = createConfigurationState({ atMs: 0 });
    lastRead: ConfigurationEvent | undefined;
}

const ERROR = new MarigoldstallError({ code: "TEST", message: "fault", step: "test" });
const READERS = 3;

/** Several daemons and operators over one modelled log; each step checks what must always hold. */
export class FleetModel {
    readonly log = new LogModel();
    readonly publishers: Publisher[] = [];
    readonly readers: Reader[];
    private readonly lateWrites: unknown[] = [];
    private atMs = 0;

    constructor() {
        this.readers = Array.from({ length: READERS }, () => new Reader());
    }

    run(command: Command): void {
        this.atMs += 1;
        switch (command.op) {
            case "publish":
                this.start(undefined);
                return;
            case "resume":
                this.start(
                    this.publishers.filter(publisher => publisher.outcome?.type === "unknown").at(command.which % 4),
                );
                return;
            case "land":
                this.lateWrites.splice(0, 1).forEach(value => this.log.append(value));
                return;
            case "restart":
                this.readers[command.which % READERS] = new Reader();
                return;
            case "snapshot":
                this.tick(this.reader(command.which));
                return;
            case "step":
                this.step(
                    this.publishers.filter(publisher => publisher.pending !== undefined).at(command.which % 3),
                    command,
                );
                return;
            case "read": {
                const reader = this.reader(command.which);
                const read = this.log.read(selectNextOffset(reader.state), command);
                reader.lastRead = { type: "log-read", atMs: this.atMs, startedAtMs: this.atMs, ...read };
                this.reduce(reader, reader.lastRead);
                return;
            }
            case "repeat": {
                const reader = this.reader(command.which);
                this.reduce(reader, reader.lastRead ?? { type: "log-unavailable", atMs: this.atMs });
                return;
            }
            case "truncate":
                this.log.truncate(command.count);
                return;
            case "gossip":
                this.gossip(this.reader(command.which), this.reader(command.from));
                return;
        }
    }

    /** Lets all late writes land, all publishers finish, and all readers read to the end and hear each other. */
    settle(): void {
        for (const publisher of this.publishers) {
            for (let count = 0; publisher.pending !== undefined && count < 200; count += 1) {
                this.step(publisher, { fault: "none", back: 0 });
            }
            expect(publisher.outcome, "every publisher ends").not.to.equal(undefined);
        }
        this.lateWrites.splice(0).forEach(value => this.log.append(value));
        for (let round = 0; round < 2; round += 1) {
            for (const reader of this.readers) {
                for (let count = 0; count < 60 && !(count > 0 && reader.state.isCaughtUp); count += 1) {
                    const read = this.log.read(selectNextOffset(reader.state), { limit: 50, back: 0 });
                    this.reduce(reader, { type: "log-read", atMs: this.atMs, startedAtMs: this.atMs, ...read });
                }
                this.readers.forEach(peer => this.gossip(reader, peer));
            }
        }
    }

    checkOutcomes(): void {
        for (const { outcome, publishIds } of this.publishers) {
            for (const publishId of publishIds) {
                const count = this.log.countEffects(publishId);
                expect(count, `${publishId} takes effect at most once`).to.be.at.most(1);
                if (outcome?.type === "accepted") {
                    expect(count, `${publishId} was reported accepted`).to.equal(1);
                }
                if (outcome?.type === "conflict" || outcome?.type === "failed") {
                    expect(count, `${publishId} was reported ${outcome.type}`).to.equal(0);
                }
            }
        }
    }

    private reader(which: number): Reader {
        return this.readers[which % READERS]!;
    }

    private reduce(
        reader: Reader,
        event: ConfigurationEvent,
    ): readonly { readonly type: string; readonly value?: unknown; }[] {
        const before = selectConfiguration(reader.state)?.version ?? 0;
        const { state, effects } = reduceConfiguration(reader.state, event);
        reader.state = state;
        const accepted = selectConfiguration(state);
        expect(accepted?.version ?? 0, "the version never goes down").to.be.at.least(before);
        if (accepted !== undefined) {
            const { publishId, offset } = accepted;
            expect({ publishId, offset }, `version ${accepted.version}`).to.deep.equal(
                this.log.truth.get(accepted.version),
            );
        }
        return effects;
    }

    private tick(reader: Reader): void {
        reader.state = { ...reader.state, snapshotSeenAtMs: undefined, snapshotRequestedAtMs: undefined };
        const event = {
            type: "tick",
            atMs: this.atMs,
            wallMs: this.atMs,
            writesSnapshots: true,
            retentionMs: 1000,
        } as const;
        for (const effect of this.reduce(reader, event)) {
            if (effect.type === "append-configuration-snapshot") {
                (this.atMs % 3 === 0 ? this.lateWrites : { push: (value: unknown) => this.log.append(value) }).push(
                    effect.value,
                );
            }
        }
    }

    private gossip(reader: Reader, peer: Reader): void {
        const configuration = selectConfiguration(peer.state);
        const heard = {
            type: "peer-version-heard",
            atMs: this.atMs,
            peerAddress: "p",
            version: configuration?.version ?? 0,
        } as const;
        if (this.reduce(reader, heard).some(effect => effect.type === "fetch-configuration")) {
            this.reduce(reader, { type: "configuration-fetched", atMs: this.atMs, peerAddress: "p", configuration });
        }
    }

    private start(resumed: Publisher | undefined): void {
        const number = this.publishers.length + 1;
        const targetsNumber = resumed?.targetsNumber ?? number;
        const start = createPublish({
            author: "operator",
            targets: LogModel.targets(targetsNumber),
            uniqueId: `publish${number}`,
            resumePublishId: resumed?.outcome?.type === "unknown" ? resumed.outcome.publishId : undefined,
        });
        this.publishers.push(new Publisher(targetsNumber, start));
    }

    private step(publisher: Publisher | undefined, opts: { readonly fault: string; readonly back: number; }): void {
        if (publisher?.pending === undefined) {
            return;
        }
        const { state, effects } = reducePublish(publisher.state, this.runEffect(publisher, publisher.pending, opts));
        publisher.state = state;
        publisher.pending = effects[0]?.type === "finish" ? undefined : effects[0];
        publisher.outcome = effects[0]?.type === "finish" ? effects[0].outcome : undefined;
        if (state.record !== undefined) {
            publisher.publishIds.add(state.record.publishId);
        }
    }

    private runEffect(
        publisher: Publisher,
        effect: PublishEffect,
        opts: { readonly fault: string; readonly back: number; },
    ): PublishEvent {
        if (effect.type === "read-log") {
            return opts.fault === "none"
                ? { type: "log-read", read: this.log.read(effect.from, { limit: 4, back: opts.back }) }
                : { type: "log-failed", error: ERROR };
        }
        expect(effect.type).to.equal("append-record");
        const value = effect.type === "append-record" ? effect.value : undefined;
        switch (opts.fault) {
            case "lost":
                this.log.append(value);
                return { type: "append-finished", result: { type: "unknown", error: ERROR } };
            case "late":
                this.lateWrites.push(value);
                return { type: "append-finished", result: { type: "unknown", error: ERROR } };
            case "refused":
                return { type: "append-finished", result: { type: "refused", error: ERROR } };
            default:
                return { type: "append-finished", result: { type: "appended", offset: this.log.append(value) } };
        }
    }
}
