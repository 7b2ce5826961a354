import { digestTargets } from "@marigoldstall/config.targets";
import {
    createConfigurationState,
    createPublish,
    reduceConfiguration,
    reducePublish,
    selectConfiguration,
    selectConfigurationHealth,
    selectNextOffset,
} from "@marigoldstall/config.versions";
import type { PublishEvent, PublishOutcome } from "@marigoldstall/config.versions";
import { expect } from "chai";
import { LogModel } from "./log-model.js";

const READS_TO_CATCH_UP = 4;

const record = (version: number) => ({
    publishId: `p${version}`,
    version,
    parentVersion: version - 1,
    author: "ana",
    targets: LogModel.createTargets(version),
});

/** Publishes with the tool's reducer. Calls back after each append. */
const publish = (log: LogModel, probesPerSecond: number, onAppended: () => void = () => undefined): PublishOutcome => {
    let { state, effects } = createPublish({
        author: "ana",
        targets: LogModel.createTargets(probesPerSecond),
        uniqueId: `u${probesPerSecond}`,
    });
    for (;;) {
        const [effect] = effects;
        if (effect === undefined || effect.type === "finish") {
            return effect?.outcome as PublishOutcome;
        }
        let event: PublishEvent;
        if (effect.type === "read-log") {
            event = { type: "log-read", read: log.read(effect.from, { limit: 3, overlap: 0 }) };
        }
        else {
            event = { type: "append-finished", result: { type: "appended", offset: log.append(effect.value) } };
            onAppended();
        }
        ({ state, effects } = reducePublish(state, event));
    }
};

class Daemon {
    state = createConfigurationState({ atMs: 0 });
    /** Probe rates of the configurations in the order in which they came into force. */
    readonly applied: number[] = [];

    constructor(private readonly log: LogModel) {}

    get inForce(): number | undefined {
        return selectConfiguration(this.state)?.targets.measuring.probesPerSecond;
    }

    reduce(event: Parameters<typeof reduceConfiguration>[1]): void {
        const { state, effects } = reduceConfiguration(this.state, event);
        this.state = state;
        for (const effect of effects) {
            if (effect.type === "apply-configuration") {
                this.applied.push(effect.configuration.targets.measuring.probesPerSecond);
            }
            if (effect.type === "fetch-configuration") {
                const configuration = this.peer === undefined ? undefined : selectConfiguration(this.peer.state);
                this.reduce({ type: "configuration-fetched", atMs: 1, peerAddress: "p", configuration });
            }
        }
    }

    read(): this {
        for (let count = 0; count < READS_TO_CATCH_UP; count += 1) {
            const read = this.log.read(selectNextOffset(this.state), { limit: 10, overlap: 0 });
            this.reduce({ type: "log-read", atMs: 1, startedAtMs: 1, ...read });
        }
        return this;
    }

    hear(peer: Daemon): this {
        this.peer = peer;
        const version = selectConfiguration(peer.state)?.version ?? 0;
        this.reduce({ type: "peer-version-heard", atMs: 1, peerAddress: "p", version });
        return this;
    }

    private peer: Daemon | undefined;
}

// A log that is restored from an older copy gives offsets and version numbers out again. Daemons that read on at their
// old offset missed what was published meanwhile, and held another configuration under the same version number.
describe("configuration with a log that is restored from an older copy", () => {
    const createLog = (): LogModel => {
        const log = new LogModel();
        [1, 2, 3, 4, 5].forEach(version => log.append(record(version)));
        return log;
    };

    for (const recordCount of [0, 1, 3, 4, 5]) {
        it(`puts a version into force that is published after a restore to ${recordCount} records`, () => {
            const log = createLog();
            const daemon = new Daemon(log).read();
            log.restore(recordCount);
            expect(publish(log, 77).type).to.equal("accepted");
            expect(daemon.read().inForce).to.equal(77);
            expect(daemon.applied).to.deep.equal([5, 77]);
            expect(publish(log, 78).type).to.equal("accepted");
            expect(daemon.read().inForce).to.equal(78);
        });
    }

    it("keeps the version in force until a newer one is published", () => {
        const log = createLog();
        const daemon = new Daemon(log).read();
        log.restore(3);
        expect(daemon.read().inForce).to.equal(5);
        expect(daemon.applied).to.deep.equal([5]);
        expect(selectConfigurationHealth(daemon.state, 2)).to.include({ version: 5, isReady: true });
    });

    it("puts the same version into force on daemons that started before and after the restore", () => {
        for (const isPublishedFirst of [true, false]) {
            const log = createLog();
            const before = new Daemon(log).read();
            log.restore(3);
            if (isPublishedFirst) {
                publish(log, 77);
            }
            const after = new Daemon(log).read().hear(before).read();
            if (!isPublishedFirst) {
                expect(after.inForce).to.equal(5);
                publish(log, 77);
            }
            publish(log, 78);
            expect(after.read().inForce).to.equal(78);
            expect(before.read().hear(after).inForce).to.equal(78);
            expect(selectConfiguration(after.state)).to.deep.equal(selectConfiguration(before.state));
        }
    });

    it("ignores a response that was sent before the restore and arrives after it", () => {
        const log = createLog();
        const daemon = new Daemon(log).read();
        const late = log.read(0, { limit: 10, overlap: 0 });
        log.restore(2);
        publish(log, 77);
        daemon.read().reduce({ type: "log-read", atMs: 1, startedAtMs: 1, ...late });
        publish(log, 78);
        expect(daemon.read().inForce).to.equal(78);
    });

    it("puts the newest version into force after two restores, of which the second loses the first new version", () => {
        const log = createLog();
        const daemon = new Daemon(log).read();
        log.restore(3);
        publish(log, 77);
        daemon.read();
        log.restore(2);
        expect(daemon.read().inForce).to.equal(77);
        publish(log, 78);
        expect(daemon.read().inForce).to.equal(78);
    });

    it("adopts a lost version from a peer only while nothing newer was published", () => {
        const log = createLog();
        const before = new Daemon(log).read();
        log.restore(1);
        publish(log, 77);
        const after = new Daemon(log).read();
        expect(after.hear(before).inForce).to.equal(77);
        const { digest, targets } = selectConfiguration(after.state)
            ?? { digest: "", targets: LogModel.createTargets(1) };
        expect(digest).to.equal(digestTargets(targets));
    });

    it("does not append a record of a former era again, whose version daemons may know with other targets", () => {
        for (const recordCount of [0, 3, 5]) {
            const log = createLog();
            let appendCount = 0;
            const outcome = publish(log, 77, () => {
                appendCount += 1;
                log.restore(recordCount);
            });
            expect(appendCount).to.equal(1);
            expect(outcome.type).to.equal("unknown");
        }
    });

    // The late record takes a number that a daemon knows with other targets. It reported the one and used the other.
    it("uses the targets of the log when an append from before the restore arrives after it", () => {
        const log = createLog();
        const before = new Daemon(log).read();
        log.restore(4);
        log.append({ ...record(5), publishId: "late", targets: LogModel.createTargets(99) });
        const after = new Daemon(log).read();
        expect(after.hear(before).inForce).to.equal(99);
        expect(before.read().applied).to.deep.equal([5, 99]);
        expect(before.inForce).to.equal(99);
    });
});
