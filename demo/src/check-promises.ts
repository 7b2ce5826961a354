import type { BackendRecord, RunRecord } from "@marigoldstall-private/backend-server";
import type { CallRecord } from "@marigoldstall-private/caller";
import type { DemoEvidence } from "./demo-evidence.js";
import type { PromiseResult } from "./promise-result.js";

const PROBE_WINDOW_MS = 1000;
/** Time in which a caller may still send on a connection to a killed daemon, before it sees that it is closed. */
const KILL_SEEN_WITHIN_MS = 500;
const LEAVING_GOAL_MS = 2000;
const IN_FORCE_GOAL_MS = 10_000;
const NEW_VM_GOAL_MS = 5000;

interface Finding {
    readonly checked: number;
    readonly broken: number;
    readonly detail: string;
}

const judge = (opts: Omit<PromiseResult, "verdict" | "detail">, finding: Finding): PromiseResult => ({
    ...opts,
    verdict: finding.checked === 0 ? "not checked" : finding.broken === 0 ? "held" : "not held",
    detail: finding.detail,
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

const checkBudget = (records: readonly BackendRecord[], probesPerSecond: number): Finding => {
    const times = records.flatMap(record => record.probes.map(probe => probe.atMs)).sort((a, b) => a - b);
    let most = 0;
    let first = 0;
    times.forEach((atMs, index) => {
        while ((times[first] ?? atMs) <= atMs - PROBE_WINDOW_MS) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    });
    return {
        checked: times.length,
        broken: most > probesPerSecond ? 1 : 0,
        detail: `${times.length} probes, at most ${most} within ${PROBE_WINDOW_MS} ms, budget ${probesPerSecond}/s`,
    };
};

const checkAnswers = (evidence: DemoEvidence): Finding => {
    const checked = evidence.calls.filter(call => call.answer !== "none");
    const foreign = checked.filter(call => call.answer === "foreign").length;
    const damaged = checked.filter(call => call.answer === "damaged").length;
    const wasKilled = (call: CallRecord) =>
        evidence.kills.some(kill => kill.entry === call.entry && call.sentAtMs <= kill.atMs + KILL_SEEN_WITHIN_MS);
    const noAnswer = evidence.calls.filter(call => call.outcome === "no-answer");
    const unanswered = noAnswer.filter(call => !wasKilled(call));
    const codes = [...new Set(unanswered.map(call => call.errorCode))].join(", ");
    return {
        checked: checked.length,
        broken: foreign + damaged + unanswered.length,
        detail: `${checked.length} answers compared, ${foreign} foreign, ${damaged} damaged, `
            + `${unanswered.length} calls without an answer${codes === "" ? "" : ` (${codes})`}, `
            + `${noAnswer.length - unanswered.length} more at the moment a daemon was killed`,
    };
};

const checkNotRun = (calls: readonly CallRecord[], runs: readonly RunRecord[]): Finding => {
    const runsByNonce = groupBy(runs, readNonce);
    const runsById = groupBy(runs, run => run.requestId);
    const callsByNonce = groupBy(calls, call => call.nonce);
    const told = calls.filter(call => call.outcome === "not-run");
    const broken = told.filter(call => {
        // The other copy of a call may run after this one was refused.
        const copies = callsByNonce.get(call.nonce) ?? [];
        const allToldNotRun = copies.every(copy => copy.outcome === "not-run");
        return (allToldNotRun && runsByNonce.has(call.nonce))
            || (call.requestId !== undefined && runsById.has(call.requestId));
    });
    return {
        checked: told.length,
        broken: broken.length,
        detail: `${told.length} calls told "not run", ${broken.length} of them ran`,
    };
};

const checkAtMostOnce = (calls: readonly CallRecord[], runs: readonly RunRecord[]): Finding => {
    const keyed = calls.filter(call => call.idempotencyKey !== undefined);
    const keys = new Set(keyed.map(call => call.idempotencyKey));
    const duplicated = keyed.filter(call => call.copy === 1).length;
    const runsByKey = groupBy(runs, run => run.idempotencyKey);
    const twice = [...runsByKey.values()].filter(group => group.length > 1).length;
    return {
        checked: runsByKey.size,
        broken: twice,
        detail: `${keys.size} keys, ${duplicated} of them sent through two daemons, ${runsByKey.size} ran, `
            + `${twice} ran more than once`,
    };
};

const checkLeaving = (record: BackendRecord | undefined): Finding => {
    const sinceMs = record?.drainingSinceMs;
    if (record === undefined || sinceMs === undefined) {
        return { checked: 0, broken: 0, detail: "no backend server left" };
    }
    const arrivals = [
        ...record.runs.map(run => run.receivedAtMs),
        ...record.refusals.map(refusal => refusal.atMs),
    ].filter(atMs => atMs > sinceMs);
    const last = arrivals.length === 0 ? 0 : Math.max(...arrivals) - sinceMs;
    return {
        checked: record.runs.length,
        broken: arrivals.filter(atMs => atMs > sinceMs + LEAVING_GOAL_MS).length,
        detail:
            `${record.vmId} ran ${record.runs.length} requests; ${arrivals.length} were sent to it after it began to `
            + `leave, the last after ${Math.round(last)} ms`,
    };
};

const checkStop = (evidence: DemoEvidence): Finding => {
    const calls = evidence.calls.filter(call => call.entry === evidence.stoppedEntry);
    const cut = calls.filter(call => call.outcome === "no-answer").length;
    const wrongExit = evidence.stoppedExit !== 0;
    return {
        checked: calls.length,
        broken: cut + (wrongExit ? 1 : 0),
        detail: `${calls.length} calls through the stopped daemon, ${cut} cut, `
            + (evidence.stoppedExit === undefined ? "it still runs" : `exit ${evidence.stoppedExit}`),
    };
};

const checkConfiguration = (evidence: DemoEvidence): Finding => {
    const { inForceAfterMs, newVmReadyAfterMs, versionsAtEnd, publishedVersion } = evidence.configuration;
    const reverted = versionsAtEnd.filter(version => version < (publishedVersion ?? 0)).length;
    const late = (inForceAfterMs ?? Infinity) > IN_FORCE_GOAL_MS ? 1 : 0;
    const newVmLate = (newVmReadyAfterMs ?? Infinity) > NEW_VM_GOAL_MS ? 1 : 0;
    const describe = (atMs: number | undefined) => atMs === undefined ? "never" : `after ${Math.round(atMs)} ms`;
    return {
        checked: publishedVersion === undefined ? 0 : versionsAtEnd.length,
        broken: reverted + late + newVmLate,
        detail: `version ${publishedVersion ?? "none"} in force everywhere ${describe(inForceAfterMs)}, on a new VM `
            + `while the log was down ${describe(newVmReadyAfterMs)}; at the end ${versionsAtEnd.length} daemons, `
            + `${reverted} on an older version`,
    };
};

/** Checks every promise against the records of callers and backend servers. */
export const checkPromises = (evidence: DemoEvidence): readonly PromiseResult[] => {
    const { calls, records } = evidence;
    const runs = records.flatMap(record => record.runs);
    const leaving = records.find(record => record.vmId === evidence.leavingVmId);
    return [
        judge(
            { number: 1, title: "measuring stays within its budget" },
            checkBudget(records, evidence.probesPerSecond),
        ),
        judge({ number: 2, title: "each caller gets its own whole answer" }, checkAnswers(evidence)),
        judge({ number: 3, title: "\"not run\" is true" }, checkNotRun(calls, runs)),
        judge({ number: 4, title: "non-repeatable requests run at most once" }, checkAtMostOnce(calls, runs)),
        judge({ number: 5, title: "a leaving backend server gets no new work" }, checkLeaving(leaving)),
        judge({ number: 6, title: "a planned stop cuts nothing" }, checkStop(evidence)),
        judge({ number: 7, title: "an accepted configuration is in force and stays" }, checkConfiguration(evidence)),
    ];
};
