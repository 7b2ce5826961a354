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
const READER_COUNT = 3;

/** Model of several daemons and operators that share a log. Each step checks the invariants. */
export class FleetModel {
    readonly log = new LogModel();
    readonly publishers: Publisher[] = [];
    readonly readers: Reader[];
    private readonly delayedWrites: unknown[] = [];
    private atMs = 0;

    constructor() {
        this.readers = Array.from({ length: READER_COUNT }, () => new Reader());
    }

    run(command: Command): void {
        this.atMs += 1;
        switch (command.op) {
            case "publish":
                this.start(undefined);
                return;
            case "resume":
                this.start(
                    this.publishers.filter(publisher => publisher.outcome?.type === "unknown").at(command.index % 4),
                );
                return;
            case "complete-delayed-write":
                this.delayedWrites.splice(0, 1).forEach(value => this.log.append(value));
                return;
            case "restart":
                this.readers[command.index % READER_COUNT] = new Reader();
                return;
            case "snapshot":
                this.tick(this.readerAt(command.index));
                return;
            case "step":
                this.step(
                    this.publishers.filter(publisher => publisher.pending !== undefined).at(command.index % 3),
                    command,
                );
                return;
            case "read": {
                const reader = this.readerAt(command.index);
                const read = this.log.read(selectNextOffset(reader.state), command);
                reader.lastRead = { type: "log-read", atMs: this.atMs, startedAtMs: this.atMs, ...read };
                this.reduce(reader, reader.lastRead);
                return;
            }
            case "repeat-read": {
                const reader = this.readerAt(command.index);
                this.reduce(reader, reader.lastRead ?? { type: "log-unavailable", atMs: this.atMs });
                return;
            }
            case "truncate":
                this.log.truncate(command.count);
                return;
            case "gossip":
                this.gossip(this.readerAt(command.index), this.readerAt(command.from));
                return;
        }
    }

    /** Finishes all publishers, completes all delayed writes, and lets all readers read to the end and gossip. */
    runToCompletion(): void {
        for (const publisher of this.publishers) {
            for (let count = 0; publisher.pending !== undefined && count < 200; count += 1) {
                this.step(publisher, { fault: "none", overlap: 0 });
            }
            expect(publisher.outcome, "every publisher finishes").not.to.equal(undefined);
        }
        this.delayedWrites.splice(0).forEach(value => this.log.append(value));
        for (let round = 0; round < 2; round += 1) {
            for (const reader of this.readers) {
                for (let count = 0; count < 60 && !(count > 0 && reader.state.isCaughtUp); count += 1) {
                    const read = this.log.read(selectNextOffset(reader.state), { limit: 50, overlap: 0 });
                    this.reduce(reader, { type: "log-read", atMs: this.atMs, startedAtMs: this.atMs, ...read });
                }
                this.readers.forEach(peer => this.gossip(reader, peer));
            }
        }
    }

    checkOutcomes(): void {
        for (const { outcome, publishIds } of this.publishers) {
            for (const publishId of publishIds) {
                const count = this.log.countAccepted(publishId);
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

    private readerAt(index: number): Reader {
        return this.readers[index % READER_COUNT]!;
    }

    private reduce(
        reader: Reader,
        event: ConfigurationEvent,
    ): readonly { readonly type: string; readonly value?: unknown; }[] {
        const before = selectConfiguration(reader.state)?.version ?? 0;
        const { state, effects } = reduceConfiguration(reader.state, event);
        reader.state = state;
        const accepted = selectConfiguration(state);
        expect(accepted?.version ?? 0, "the version never decreases").to.be.at.least(before);
        if (accepted !== undefined) {
            const { publishId, offset } = accepted;
            expect({ publishId, offset }, `version ${accepted.version}`).to.deep.equal(
                this.log.acceptedRecords.get(accepted.version),
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
                (this.atMs % 3 === 0 ? this.delayedWrites : { push: (value: unknown) => this.log.append(value) }).push(
                    effect.value,
                );
            }
        }
    }

    private gossip(reader: Reader, peer: Reader): void {
        const configuration = selectConfiguration(peer.state);
        const versionEvent = {
            type: "peer-version-heard",
            atMs: this.atMs,
            peerAddress: "p",
            version: configuration?.version ?? 0,
        } as const;
        if (this.reduce(reader, versionEvent).some(effect => effect.type === "fetch-configuration")) {
            this.reduce(reader, { type: "configuration-fetched", atMs: this.atMs, peerAddress: "p", configuration });
        }
    }

    private start(resumed: Publisher | undefined): void {
        const number = this.publishers.length + 1;
        const targetsNumber = resumed?.targetsNumber ?? number;
        const start = createPublish({
            author: "operator",
            targets: LogModel.createTargets(targetsNumber),
            uniqueId: `publish${number}`,
            resumePublishId: resumed?.outcome?.type === "unknown" ? resumed.outcome.publishId : undefined,
        });
        this.publishers.push(new Publisher(targetsNumber, start));
    }

    private step(publisher: Publisher | undefined, opts: { readonly fault: string; readonly overlap: number; }): void {
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
        opts: { readonly fault: string; readonly overlap: number; },
    ): PublishEvent {
        if (effect.type === "read-log") {
            return opts.fault === "none"
                ? { type: "log-read", read: this.log.read(effect.from, { limit: 4, overlap: opts.overlap }) }
                : { type: "log-failed", error: ERROR };
        }
        expect(effect.type).to.equal("append-record");
        const value = effect.type === "append-record" ? effect.value : undefined;
        switch (opts.fault) {
            case "response-lost":
                this.log.append(value);
                return { type: "append-finished", result: { type: "unknown", error: ERROR } };
            case "delayed":
                this.delayedWrites.push(value);
                return { type: "append-finished", result: { type: "unknown", error: ERROR } };
            case "refused":
                return { type: "append-finished", result: { type: "refused", error: ERROR } };
            default:
                return { type: "append-finished", result: { type: "appended", offset: this.log.append(value) } };
        }
    }
}
