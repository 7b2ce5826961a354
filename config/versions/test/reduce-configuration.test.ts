import { digestTargets } from "@marigoldstall/config.targets";
import {
    createConfigurationState,
    reduceConfiguration,
    selectConfiguration,
    selectConfigurationHealth,
    selectNextOffset,
} from "@marigoldstall/config.versions";
import type { ConfigurationEffect, ConfigurationEvent, ConfigurationState } from "@marigoldstall/config.versions";
import { expect } from "chai";
import { LogModel } from "./log-model.js";

const RETENTION_MS = 400_000;

const publish = (version: number) => ({
    publishId: `p${version}`,
    version,
    parentVersion: version - 1,
    author: "ana",
    targets: LogModel.createTargets(version),
});

const configuration = (version: number, offset: number) => {
    const { publishId, author, targets } = publish(version);
    return { version, offset, publishId, author, digest: digestTargets(targets), targets };
};

class Daemon {
    state: ConfigurationState = createConfigurationState({ atMs: 0 });
    readonly log = new LogModel();

    reduce(event: ConfigurationEvent): readonly ConfigurationEffect[] {
        const { state, effects } = reduceConfiguration(this.state, event);
        this.state = state;
        return effects;
    }

    read(atMs: number, startedAtMs = atMs): readonly ConfigurationEffect[] {
        const read = this.log.read(selectNextOffset(this.state), { limit: 100, overlap: 0 });
        return this.reduce({ type: "log-read", atMs, startedAtMs, ...read });
    }

    tick(
        atMs: number,
        opts: { readonly writesSnapshots?: boolean; readonly wallMs?: number; } = {},
    ): readonly string[] {
        const wallMs = opts.wallMs ?? atMs;
        const writesSnapshots = opts.writesSnapshots ?? false;
        const effects = this.reduce({ type: "tick", atMs, wallMs, writesSnapshots, retentionMs: RETENTION_MS });
        return effects.map(effect => effect.type).filter(type => type !== "log-decision");
    }

    /** Ticks each second, because a longer gap would be detected as a pause. */
    tickUntil(fromMs: number, toMs: number, writesSnapshots: boolean): readonly (readonly [number, string])[] {
        const emitted: (readonly [number, string])[] = [];
        for (let atMs = fromMs; atMs <= toMs; atMs += 1000) {
            this.tick(atMs, { writesSnapshots }).forEach(type => emitted.push([atMs, type]));
        }
        return emitted;
    }
}

describe("reduceConfiguration", () => {
    it("applies only the newest of several versions in one read", () => {
        const daemon = new Daemon();
        [1, 2, 3].forEach(version => daemon.log.append(publish(version)));
        const applied = daemon.read(1).flatMap(effect =>
            effect.type === "apply-configuration" ? [effect.configuration.version] : []
        );
        expect(applied).to.deep.equal([3]);
    });

    it("ignores malformed records, whose targets cannot be applied", () => {
        const daemon = new Daemon();
        for (
            const value of ["x", {}, { ...publish(1), targets: {} }, { ...publish(1), version: 1.5 }, { snapshot: 1 }]
        ) {
            daemon.log.append(value);
        }
        daemon.log.append(publish(1));
        daemon.read(1);
        expect(selectConfiguration(daemon.state)?.offset).to.equal(5);
    });

    it("starts from a peer's version while the log is unavailable, and continues reading after it", () => {
        const daemon = new Daemon();
        daemon.reduce({ type: "log-unavailable", atMs: 1 });
        const versionEvent = { type: "peer-version-heard", atMs: 2, peerAddress: "p", version: 7 } as const;
        expect(daemon.reduce(versionEvent).map(effect => effect.type)).to.deep.equal(["fetch-configuration"]);
        expect(daemon.reduce(versionEvent), "one fetch at a time").to.deep.equal([]);
        daemon.reduce({ type: "configuration-fetched", atMs: 3, peerAddress: "p", configuration: configuration(7, 9) });
        expect(selectConfigurationHealth(daemon.state, 4)).to.include({
            version: 7,
            isReady: true,
            isLogAvailable: false,
        });
        expect(selectNextOffset(daemon.state)).to.equal(10);
    });

    it("rejects a fetched configuration with a wrong digest, and retries after a failed fetch", () => {
        const daemon = new Daemon();
        const versionEvent = { type: "peer-version-heard", atMs: 2, peerAddress: "p", version: 7 } as const;
        const wrong = { ...configuration(7, 9), digest: "0" };
        for (const fetched of [wrong, undefined]) {
            expect(daemon.reduce(versionEvent).map(effect => effect.type)).to.deep.equal(["fetch-configuration"]);
            daemon.reduce({ type: "configuration-fetched", atMs: 3, peerAddress: "p", configuration: fetched });
        }
        expect(selectConfiguration(daemon.state)).to.equal(undefined);
    });

    it("skips no record when a read completes that was sent before a snapshot moved the fold back", () => {
        const daemon = new Daemon();
        [1, 2, 3].forEach(version => daemon.log.append(publish(version)));
        daemon.log.append({ snapshot: { throughOffset: 1, state: configuration(2, 1) } });
        daemon.log.truncate(2);
        daemon.read(1);
        expect(selectNextOffset(daemon.state)).to.equal(2);
        daemon.log.append(publish(4));
        daemon.reduce({ type: "log-read", atMs: 2, startedAtMs: 1, ...daemon.log.read(4, { limit: 9, overlap: 0 }) });
        expect(selectNextOffset(daemon.state)).to.equal(2);
        daemon.read(3);
        expect(selectConfiguration(daemon.state)?.version).to.equal(4);
    });

    it("does not adopt a snapshot of a lower version", () => {
        const daemon = new Daemon();
        daemon.reduce({ type: "configuration-fetched", atMs: 1, peerAddress: "p", configuration: configuration(5, 0) });
        daemon.log.append("x");
        daemon.log.append("x");
        daemon.log.append({ snapshot: { throughOffset: 1, state: configuration(4, 0) } });
        daemon.log.truncate(2);
        daemon.read(2);
        expect(selectConfiguration(daemon.state)?.version).to.equal(5);
        expect(selectConfigurationHealth(daemon.state, 3).isComplete).to.equal(false);
    });

    describe("after a pause", () => {
        for (const [name, wallMs] of [["both clocks show", 20_000], ["only the wall clock shows", 900_000]] as const) {
            it(`is not ready until the version is confirmed, when ${name} the pause`, () => {
                const daemon = new Daemon();
                daemon.log.append(publish(1));
                daemon.tick(0);
                daemon.read(1);
                expect(selectConfigurationHealth(daemon.state, 1).isReady).to.equal(true);
                const atMs = wallMs === 20_000 ? wallMs : 1000;
                expect(daemon.tick(atMs, { wallMs })).to.deep.equal(["confirm-configuration"]);
                daemon.read(atMs + 1, 500);
                expect(selectConfigurationHealth(daemon.state, atMs).isReady, "read sent before the pause").to.equal(
                    false,
                );
                daemon.read(atMs + 2);
                expect(selectConfigurationHealth(daemon.state, atMs).isReady).to.equal(true);
            });
        }

        it("is confirmed by a peer with the same version, but not by one with an older version", () => {
            const daemon = new Daemon();
            daemon.log.append(publish(1));
            daemon.log.append(publish(2));
            daemon.read(1);
            daemon.tick(0);
            daemon.tick(9000);
            for (const [version, expected] of [[1, false], [2, true]] as const) {
                daemon.reduce({ type: "peer-version-heard", atMs: 9001, peerAddress: "p", version });
                expect(selectConfigurationHealth(daemon.state, 9002).isReady).to.equal(expected);
            }
        });
    });

    describe("snapshots", () => {
        it("are written immediately by a new writer, and then each quarter of the retention time", () => {
            const daemon = new Daemon();
            daemon.log.append(publish(1));
            daemon.read(0);
            expect(daemon.tickUntil(1000, 1000, true)).to.deep.equal([[1000, "append-configuration-snapshot"]]);
            daemon.log.append({ snapshot: { throughOffset: 0, state: configuration(1, 0) } });
            daemon.read(2000);
            expect(daemon.tickUntil(2000, 102_000, true)).to.deep.equal([[102_000, "append-configuration-snapshot"]]);
        });

        it("are written by another daemon at half of the retention time if the writer does not", () => {
            const daemon = new Daemon();
            daemon.log.append(publish(1));
            daemon.read(0);
            expect(daemon.tickUntil(1000, 201_000, false)[0]).to.deep.equal([200_000, "append-configuration-snapshot"]);
        });

        it("are not written while records are missing", () => {
            const daemon = new Daemon();
            daemon.log.append(publish(1));
            daemon.log.append(publish(2));
            daemon.log.truncate(1);
            daemon.read(0);
            expect(daemon.tickUntil(1000, 2000, true)).to.deep.equal([]);
        });
    });
});
