import type { BackendRecord, RunRecord } from "@marigoldstall-private/backend-server";
import type { CallRecord } from "@marigoldstall-private/caller";
import type { DemoRecord } from "./demo-record.js";
import type { GuaranteeResult } from "./guarantee-result.js";

const PROBE_WINDOW_MS = 1000;
/** Time after a kill in which a caller may still send on its connection, because it has not seen it close yet. */
const KILL_DETECTION_MS = 500;
const LEAVING_LIMIT_MS = 2000;
const IN_FORCE_LIMIT_MS = 10_000;
const NEW_VM_READY_LIMIT_MS = 5000;

interface CheckResult {
    readonly checkedCount: number;
    readonly violationCount: number;
    readonly detail: string;
}

const toGuaranteeResult = (
    opts: Omit<GuaranteeResult, "status" | "detail">,
    checkResult: CheckResult,
): GuaranteeResult => ({
    ...opts,
    status: checkResult.checkedCount === 0 ? "not checked" : checkResult.violationCount === 0 ? "held" : "not held",
    detail: checkResult.detail,
});

const groupBy = <T>(items: readonly T[], toKey: (item: T) => string | undefined): ReadonlyMap<string, readonly T[]> => {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const key = toKey(item);
        if (key !== undefined) {
            groups.set(key, [...groups.get(key) ?? [], item]);
        }
    }
    return groups;
};

const readNonce = (run: RunRecord): string | undefined =>
    new URL(run.path, "http://entry").searchParams.get("nonce") ?? undefined;

const checkProbeBudget = (records: readonly BackendRecord[], probesPerSecond: number): CheckResult => {
    const probeTimes = records.flatMap(record => record.probes.map(probe => probe.atMs)).sort((a, b) => a - b);
    let maxProbeCount = 0;
    let windowStart = 0;
    probeTimes.forEach((atMs, index) => {
        while ((probeTimes[windowStart] ?? atMs) <= atMs - PROBE_WINDOW_MS) {
            windowStart += 1;
        }
        maxProbeCount = Math.max(maxProbeCount, index - windowStart + 1);
    });
    return {
        checkedCount: probeTimes.length,
        violationCount: maxProbeCount > probesPerSecond ? 1 : 0,
        detail:
            `${probeTimes.length} probes, at most ${maxProbeCount} within ${PROBE_WINDOW_MS} ms, budget ${probesPerSecond}/s`,
    };
};

const checkResponses = (demoRecord: DemoRecord): CheckResult => {
    const checkedCalls = demoRecord.calls.filter(call => call.answer !== "none");
    const foreignCount = checkedCalls.filter(call => call.answer === "foreign").length;
    const damagedCount = checkedCalls.filter(call => call.answer === "damaged").length;
    const isExplainedByKill = (call: CallRecord) =>
        demoRecord.kills.some(kill => kill.entry === call.entry && call.sentAtMs <= kill.atMs + KILL_DETECTION_MS);
    const callsWithoutResponse = demoRecord.calls.filter(call => call.outcome === "no-answer");
    const unexplainedCalls = callsWithoutResponse.filter(call => !isExplainedByKill(call));
    const errorCodes = [...new Set(unexplainedCalls.map(call => call.errorCode))].join(", ");
    return {
        checkedCount: checkedCalls.length,
        violationCount: foreignCount + damagedCount + unexplainedCalls.length,
        detail: `${checkedCalls.length} responses compared, ${foreignCount} for another call, ${damagedCount} damaged, `
            + `${unexplainedCalls.length} calls without a response${errorCodes === "" ? "" : ` (${errorCodes})`}, `
            + `${callsWithoutResponse.length - unexplainedCalls.length} more at the time a daemon was killed`,
    };
};

const checkNotRun = (calls: readonly CallRecord[], runs: readonly RunRecord[]): CheckResult => {
    const runsByNonce = groupBy(runs, readNonce);
    const runsById = groupBy(runs, run => run.requestId);
    const callsByNonce = groupBy(calls, call => call.nonce);
    const notRunCalls = calls.filter(call => call.outcome === "not-run");
    const violations = notRunCalls.filter(call => {
        // The other copy of a call may run after this one was rejected.
        const copies = callsByNonce.get(call.nonce) ?? [];
        const allCopiesNotRun = copies.every(copy => copy.outcome === "not-run");
        return (allCopiesNotRun && runsByNonce.has(call.nonce))
            || (call.requestId !== undefined && runsById.has(call.requestId));
    });
    return {
        checkedCount: notRunCalls.length,
        violationCount: violations.length,
        detail: `${notRunCalls.length} calls reported as "not run", ${violations.length} of them ran`,
    };
};

const checkAtMostOnce = (calls: readonly CallRecord[], runs: readonly RunRecord[]): CheckResult => {
    const keyedCalls = calls.filter(call => call.idempotencyKey !== undefined);
    const keys = new Set(keyedCalls.map(call => call.idempotencyKey));
    const duplicateCount = keyedCalls.filter(call => call.copy === 1).length;
    const runsByKey = groupBy(runs, run => run.idempotencyKey);
    const repeatedKeyCount = [...runsByKey.values()].filter(group => group.length > 1).length;
    return {
        checkedCount: runsByKey.size,
        violationCount: repeatedKeyCount,
        detail: `${keys.size} keys, ${duplicateCount} of them sent through two daemons, ${runsByKey.size} ran, `
            + `${repeatedKeyCount} ran more than once`,
    };
};

const checkLeaving = (record: BackendRecord | undefined): CheckResult => {
    const drainingSinceMs = record?.drainingSinceMs;
    if (record === undefined || drainingSinceMs === undefined) {
        return { checkedCount: 0, violationCount: 0, detail: "no backend server began to leave" };
    }
    const arrivals = [
        ...record.runs.map(run => run.receivedAtMs),
        ...record.refusals.map(refusal => refusal.atMs),
    ].filter(atMs => atMs > drainingSinceMs);
    const lastDelayMs = arrivals.length === 0 ? 0 : Math.max(...arrivals) - drainingSinceMs;
    return {
        checkedCount: record.runs.length,
        violationCount: arrivals.filter(atMs => atMs > drainingSinceMs + LEAVING_LIMIT_MS).length,
        detail:
            `${record.vmId} ran ${record.runs.length} requests; ${arrivals.length} were sent to it after it began to `
            + `leave, the last one after ${Math.round(lastDelayMs)} ms`,
    };
};

const checkPlannedStop = (demoRecord: DemoRecord): CheckResult => {
    const calls = demoRecord.calls.filter(call => call.entry === demoRecord.stoppedEntry);
    const cutOffCount = calls.filter(call => call.outcome === "no-answer").length;
    const isWrongExitStatus = demoRecord.stoppedExitStatus !== 0;
    return {
        checkedCount: calls.length,
        violationCount: cutOffCount + (isWrongExitStatus ? 1 : 0),
        detail: `${calls.length} calls through the stopped daemon, ${cutOffCount} cut off, `
            + (demoRecord.stoppedExitStatus === undefined
                ? "still running"
                : `exit status ${demoRecord.stoppedExitStatus}`),
    };
};

const checkConfiguration = (demoRecord: DemoRecord): CheckResult => {
    const { inForceAfterMs, newVmReadyAfterMs, finalVersions, publishedVersion } = demoRecord.configuration;
    const revertedCount = finalVersions.filter(version => version < (publishedVersion ?? 0)).length;
    const lateCount = (inForceAfterMs ?? Infinity) > IN_FORCE_LIMIT_MS ? 1 : 0;
    const newVmLateCount = (newVmReadyAfterMs ?? Infinity) > NEW_VM_READY_LIMIT_MS ? 1 : 0;
    const formatDelay = (delayMs: number | undefined) =>
        delayMs === undefined ? "never" : `after ${Math.round(delayMs)} ms`;
    return {
        checkedCount: publishedVersion === undefined ? 0 : finalVersions.length,
        violationCount: revertedCount + lateCount + newVmLateCount,
        detail: `version ${publishedVersion ?? "none"} in force everywhere ${formatDelay(inForceAfterMs)}, on a new VM `
            + `while the log was down ${formatDelay(newVmReadyAfterMs)}; at the end ${finalVersions.length} daemons, `
            + `${revertedCount} on an older version`,
    };
};

/** Checks every guarantee against the records of callers and backend servers. */
export const checkGuarantees = (demoRecord: DemoRecord): readonly GuaranteeResult[] => {
    const { calls, backendRecords } = demoRecord;
    const runs = backendRecords.flatMap(record => record.runs);
    const leavingRecord = backendRecords.find(record => record.vmId === demoRecord.leavingVmId);
    return [
        toGuaranteeResult(
            { number: 1, title: "probes stay within their budget" },
            checkProbeBudget(backendRecords, demoRecord.probesPerSecond),
        ),
        toGuaranteeResult(
            { number: 2, title: "each caller gets the complete response to its own request" },
            checkResponses(demoRecord),
        ),
        toGuaranteeResult(
            { number: 3, title: "a request reported as \"not run\" never ran" },
            checkNotRun(calls, runs),
        ),
        toGuaranteeResult(
            { number: 4, title: "non-repeatable requests run at most once" },
            checkAtMostOnce(calls, runs),
        ),
        toGuaranteeResult(
            { number: 5, title: "a leaving backend server gets no new requests" },
            checkLeaving(leavingRecord),
        ),
        toGuaranteeResult({ number: 6, title: "a planned stop cuts off no requests" }, checkPlannedStop(demoRecord)),
        toGuaranteeResult(
            { number: 7, title: "an accepted configuration comes into force and is not reverted" },
            checkConfiguration(demoRecord),
        ),
    ];
};
