import type { BackendRecord, RunRecord } from "@marigoldstall-private/backend-server";
import type { CallRecord } from "@marigoldstall-private/caller";
import { checkPromises } from "@marigoldstall-private/demo";
import type { DemoEvidence } from "@marigoldstall-private/demo";
import { expect } from "chai";

const call: CallRecord = {
    className: "crew-dispatch",
    repeatable: false,
    nonce: "n1",
    idempotencyKey: "k1",
    copy: 0,
    entry: "stopped",
    dueAtMs: 0,
    sentAtMs: 0,
    latencyMs: 10,
    warmUp: false,
    outcome: "completed",
    status: 200,
    reason: undefined,
    requestId: "r1",
    answer: "own",
    errorCode: undefined,
    connectionReused: true,
};
const notRun: CallRecord = {
    ...call,
    nonce: "n2",
    idempotencyKey: "k2",
    requestId: "r2",
    outcome: "not-run",
    answer: "none",
};
const run: RunRecord = {
    requestId: "r1",
    idempotencyKey: "k1",
    attempt: 1,
    service: "crewcall",
    vmId: "crewcall-1",
    instanceId: "i1",
    method: "POST",
    path: "/dispatches?nonce=n1",
    bodyDigest: "",
    receivedAtMs: 0,
    startedAtMs: 0,
    finishedAtMs: 5,
    ending: "finished",
};
const record: BackendRecord = {
    service: "crewcall",
    vmId: "crewcall-1",
    address: "",
    runs: [run],
    refusals: [],
    probes: [{ atMs: 0, path: "/_load" }, { atMs: 1000, path: "/_load" }],
    drainingSinceMs: 100,
    connectionsAccepted: 1,
};
const evidence: DemoEvidence = {
    calls: [call, notRun],
    records: [record],
    probesPerSecond: 1,
    kills: [{ entry: "killed", atMs: 1000 }],
    stoppedEntry: "stopped",
    stoppedExit: 0,
    leavingVmId: "crewcall-1",
    configuration: { inForceAfterMs: 500, newVmReadyAfterMs: 900, versionsAtEnd: [2, 2], publishedVersion: 2 },
};

describe("checkPromises", () => {
    const verdicts = (changed: Partial<DemoEvidence>) =>
        checkPromises({ ...evidence, ...changed }).map(result => result.verdict);
    const withRuns = (...runs: RunRecord[]) => ({ records: [{ ...record, runs }] });

    it("finds all promises held in records without a fault", () => {
        expect(verdicts({})).to.deep.equal(Array.from({ length: 7 }, () => "held"));
    });

    const faults: readonly {
        readonly title: string;
        readonly promise: number;
        readonly changed: Partial<DemoEvidence>;
    }[] = [
        {
            title: "more probes in a second than the budget",
            promise: 1,
            changed: { records: [{ ...record, probes: [...record.probes, { atMs: 1500, path: "/_health" }] }] },
        },
        { title: "another caller's answer", promise: 2, changed: { calls: [notRun, { ...call, answer: "foreign" }] } },
        { title: "half an answer", promise: 2, changed: { calls: [notRun, { ...call, answer: "damaged" }] } },
        {
            title: "a call without an answer long after the daemon was killed",
            promise: 2,
            changed: {
                calls: [call, notRun, {
                    ...call,
                    entry: "killed",
                    sentAtMs: 1600,
                    outcome: "no-answer",
                    answer: "none",
                }],
            },
        },
        {
            title: "a run after \"not run\"",
            promise: 3,
            changed: withRuns(run, { ...run, requestId: "r9", idempotencyKey: "k2", path: "/x?nonce=n2" }),
        },
        {
            title: "a run with the request id of a copy that was told \"not run\"",
            promise: 3,
            changed: { calls: [call, notRun, { ...notRun, copy: 1, requestId: "r1", outcome: "not-run" }] },
        },
        { title: "two runs of one key", promise: 4, changed: withRuns(run, { ...run, vmId: "crewcall-2" }) },
        {
            title: "work for a leaving server after 2 s",
            promise: 5,
            changed: withRuns(run, { ...run, idempotencyKey: undefined, receivedAtMs: 2200 }),
        },
        {
            title: "a call cut by a planned stop",
            promise: 6,
            changed: {
                kills: [{ entry: "stopped", atMs: 1000 }],
                calls: [call, notRun, { ...call, outcome: "no-answer", answer: "none" }],
            },
        },
        { title: "a stopped daemon that ends with an error", promise: 6, changed: { stoppedExit: 1 } },
        {
            title: "a version that reverts",
            promise: 7,
            changed: { configuration: { ...evidence.configuration, versionsAtEnd: [2, 1] } },
        },
        {
            title: "a version that is in force too late",
            promise: 7,
            changed: { configuration: { ...evidence.configuration, inForceAfterMs: 10_500 } },
        },
    ];
    for (const { title, promise, changed } of faults) {
        it(`finds ${title}`, () => {
            const broken = verdicts(changed).flatMap((verdict, index) => verdict === "held" ? [] : [index + 1]);
            expect(broken).to.deep.equal([promise]);
        });
    }

    it("allows the other copy of a key to run after one was refused", () => {
        const copy: CallRecord = { ...call, copy: 1, requestId: "r3", outcome: "not-run", answer: "none" };
        expect(verdicts({ calls: [call, copy] })[2]).to.equal("held");
    });

    it("says that it did not check what did not occur", () => {
        const none = checkPromises({
            ...evidence,
            calls: [],
            records: [],
            configuration: { ...evidence.configuration, publishedVersion: undefined },
        });
        expect(none.map(result => result.verdict)).to.deep.equal(Array.from({ length: 7 }, () => "not checked"));
    });
});
