import { createPublish, reducePublish } from "@marigoldstall/config.versions";
import type { PublishEffect, PublishEvent, PublishOptions, PublishOutcome } from "@marigoldstall/config.versions";
import { MarigoldstallError } from "@marigoldstall/core.error";
import { expect } from "chai";
import { LogModel } from "./log-model.js";

type Fault = "none" | "response-lost" | "request-lost" | "refused";

const ERROR = new MarigoldstallError({ code: "TEST", message: "fault", step: "test" });

/** Publishes to the log. `faults` apply to the appends in order; reads fail after the first `readsFailAfter`. */
const publish = (
    log: LogModel,
    opts: Partial<PublishOptions> & { readonly faults?: readonly Fault[]; readonly readsFailAfter?: number; } = {},
): { readonly outcome: PublishOutcome; readonly appended: readonly unknown[]; } => {
    const faults = [...opts.faults ?? []];
    const appended: unknown[] = [];
    let reads = 0;
    const runEffect = (effect: PublishEffect): PublishEvent => {
        if (effect.type === "read-log") {
            reads += 1;
            return reads > (opts.readsFailAfter ?? Infinity)
                ? { type: "log-failed", error: ERROR }
                : { type: "log-read", read: log.read(effect.from, { limit: 3, overlap: 0 }) };
        }
        const value = effect.type === "append-record" ? effect.value : undefined;
        appended.push(value);
        const fault = faults.shift() ?? "none";
        if (fault === "none" || fault === "response-lost") {
            const offset = log.append(value);
            return {
                type: "append-finished",
                result: fault === "none" ? { type: "appended", offset } : { type: "unknown", error: ERROR },
            };
        }
        return {
            type: "append-finished",
            result: { type: fault === "request-lost" ? "unknown" : "refused", error: ERROR },
        };
    };
    let { state, effects } = createPublish({
        author: "ana",
        targets: LogModel.createTargets(7),
        uniqueId: "u",
        ...opts,
    });
    for (;;) {
        const [effect] = effects;
        if (effect === undefined || effect.type === "finish") {
            return { outcome: effect?.outcome as PublishOutcome, appended };
        }
        ({ state, effects } = reducePublish(state, runEffect(effect)));
    }
};

describe("publishing", () => {
    it("reports accepted only after reading the record back", () => {
        expect(publish(new LogModel()).outcome).to.have.nested.property("configuration.version", 1);
        expect(publish(new LogModel(), { readsFailAfter: 1 }).outcome.type).to.equal("unknown");
    });

    it("finds its record after a lost response and does not append it again", () => {
        const result = publish(new LogModel(), { faults: ["response-lost"] });
        expect(result.outcome.type).to.equal("accepted");
        expect(result.appended).to.have.lengthOf(1);
    });

    it("appends the identical record again when it is absent after an unknown result", () => {
        const result = publish(new LogModel(), { faults: ["request-lost"] });
        expect(result.outcome.type).to.equal("accepted");
        expect(result.appended[1]).to.deep.equal(result.appended[0]);
    });

    it("reports unknown, not failed, when refusals follow an unknown result, as a copy may still arrive", () => {
        expect(publish(new LogModel(), { faults: ["request-lost", "refused", "refused"] }).outcome)
            .to.include({ type: "unknown", publishId: "1-u" });
        expect(publish(new LogModel(), { faults: ["refused", "refused", "refused"] }).outcome.type).to.equal("failed");
    });

    it("reports the winning version and its author in a conflict", () => {
        const log = new LogModel();
        publish(log, { author: "bor", uniqueId: "b" });
        expect(publish(log, { ifVersion: 0 }).outcome).to.have.nested.property("winner.author", "bor");
        expect(publish(log, { resumePublishId: "1-u" }).outcome).to.have.nested.property("winner.version", 1);
    });

    it("takes effect only once when resumed by publish id, even if retention has removed the first copy", () => {
        const log = new LogModel();
        publish(log);
        expect(publish(log, { resumePublishId: "1-u" }).appended).to.deep.equal([]);
        const newer = publish(log, { uniqueId: "v" }).outcome;
        const state = newer.type === "accepted" ? newer.configuration : undefined;
        log.append({ snapshot: { throughOffset: 1, state } });
        log.truncate(2);
        const resumed = publish(log, { resumePublishId: "1-u" });
        expect(resumed.appended).to.deep.equal([]);
        expect(resumed.outcome).to.have.nested.property("supersededBy.version", 2);
    });

    it("restarts above every earlier version when the log retains neither a version nor a snapshot", () => {
        const log = new LogModel();
        publish(log);
        publish(log, { uniqueId: "v" });
        log.truncate(2);
        expect(publish(log, { uniqueId: "w" }).outcome).to.have.nested.property("configuration.version", 3);
        expect(publish(log, { uniqueId: "x" }).outcome).to.have.nested.property("configuration.version", 4);
    });

    it("appends nothing in a dry run or for a publish id of unknown format", () => {
        const log = new LogModel();
        expect(publish(log, { isDryRun: true }).outcome.type).to.equal("planned");
        expect(publish(log, { resumePublishId: "no id" }).outcome.type).to.equal("failed");
        expect(log.nextOffset).to.equal(0);
    });
});
