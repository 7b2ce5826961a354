import type { BackendRecord, RunRecord } from "@marigoldstall-private/backend-server";
import type { CallRecord } from "@marigoldstall-private/caller";
import { checkGuarantees } from "@marigoldstall-private/demo";
import type { DemoRecord } from "@marigoldstall-private/demo";
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
const backendRecord: BackendRecord = {
    service: "crewcall",
    vmId: "crewcall-1",
    address: "",
    runs: [run],
    refusals: [],
    probes: [{ atMs: 0, path: "/_load" }, { atMs: 1000, path: "/_load" }],
    drainingSinceMs: 100,
    connectionsAccepted: 1,
};
const demoRecord: DemoRecord = {
    calls: [call, notRun],
    backendRecords: [backendRecord],
    probesPerSecond: 1,
    kills: [{ entry: "killed", atMs: 1000 }],
    stoppedEntry: "stopped",
    stoppedExitStatus: 0,
    leavingVmId: "crewcall-1",
    configuration: { inForceAfterMs: 500, newVmReadyAfterMs: 900, finalVersions: [2, 2], publishedVersion: 2 },
};

describe("checkGuarantees", () => {
    const checkStatuses = (changed: Partial<DemoRecord>) =>
        checkGuarantees({ ...demoRecord, ...changed }).map(result => result.status);
    const withRuns = (...runs: RunRecord[]) => ({ backendRecords: [{ ...backendRecord, runs }] });

    it("reports every guarantee as held for records without a violation", () => {
        expect(checkStatuses({})).to.deep.equal(Array.from({ length: 7 }, () => "held"));
    });

    const violationCases: readonly {
        readonly title: string;
        readonly guarantee: number;
        readonly changed: Partial<DemoRecord>;
    }[] = [
        {
            title: "more probes in a second than the budget",
            guarantee: 1,
            changed: {
                backendRecords: [{
                    ...backendRecord,
                    probes: [...backendRecord.probes, { atMs: 1500, path: "/_health" }],
                }],
            },
        },
        {
            title: "a response to another call",
            guarantee: 2,
            changed: { calls: [notRun, { ...call, answer: "foreign" }] },
        },
        { title: "a damaged response", guarantee: 2, changed: { calls: [notRun, { ...call, answer: "damaged" }] } },
        {
            title: "a call without a response, sent well after the daemon was killed",
            guarantee: 2,
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
            title: "a run of a call that was reported as \"not run\"",
            guarantee: 3,
            changed: withRuns(run, { ...run, requestId: "r9", idempotencyKey: "k2", path: "/x?nonce=n2" }),
        },
        {
            title: "a run with the request id of a copy that was reported as \"not run\"",
            guarantee: 3,
            changed: { calls: [call, notRun, { ...notRun, copy: 1, requestId: "r1", outcome: "not-run" }] },
        },
        {
            title: "two runs of one idempotency key",
            guarantee: 4,
            changed: withRuns(run, { ...run, vmId: "crewcall-2" }),
        },
        {
            title: "a request sent to a leaving server after more than 2 s",
            guarantee: 5,
            changed: withRuns(run, { ...run, idempotencyKey: undefined, receivedAtMs: 2200 }),
        },
        {
            title: "a call cut off by a planned stop",
            guarantee: 6,
            changed: {
                kills: [{ entry: "stopped", atMs: 1000 }],
                calls: [call, notRun, { ...call, outcome: "no-answer", answer: "none" }],
            },
        },
        { title: "a stopped daemon that exits with an error", guarantee: 6, changed: { stoppedExitStatus: 1 } },
        {
            title: "a daemon that reverts to an older version",
            guarantee: 7,
            changed: { configuration: { ...demoRecord.configuration, finalVersions: [2, 1] } },
        },
        {
            title: "a version that comes into force too late",
            guarantee: 7,
            changed: { configuration: { ...demoRecord.configuration, inForceAfterMs: 10_500 } },
        },
    ];
    for (const { title, guarantee, changed } of violationCases) {
        it(`detects ${title}`, () => {
            const violated = checkStatuses(changed).flatMap((status, index) => status === "held" ? [] : [index + 1]);
            expect(violated).to.deep.equal([guarantee]);
        });
    }

    it("allows one copy of a call to run after the other was rejected", () => {
        const copy: CallRecord = { ...call, copy: 1, requestId: "r3", outcome: "not-run", answer: "none" };
        expect(checkStatuses({ calls: [call, copy] })[2]).to.equal("held");
    });

    it("reports guarantees without data as not checked", () => {
        const results = checkGuarantees({
            ...demoRecord,
            calls: [],
            backendRecords: [],
            configuration: { ...demoRecord.configuration, publishedVersion: undefined },
        });
        expect(results.map(result => result.status)).to.deep.equal(Array.from({ length: 7 }, () => "not checked"));
    });
});
