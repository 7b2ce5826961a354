import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { Vm } from "@marigoldstall/core.types";
import { SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import type { DaemonStatus } from "../daemon-status.js";
import { ExitCode } from "../exit-code.js";
import { listDaemons } from "../list-daemons.js";
import { readStream } from "../read-stream.js";
import type { ClassSummary } from "./class-summary.js";
import { summarizeClasses } from "./summarize-classes.js";

const MAX_BACKEND_SERVER_LINES = 30;

interface Answer {
    readonly vm: Vm;
    readonly status: Result<DaemonStatus, MarigoldstallError>;
}

const describeClass = (summary: ClassSummary): string => {
    const onTime = summary.onTimePercent === undefined ? "no responses" : `${summary.onTimePercent.toFixed(2)} %`;
    const worst = summary.worstAtTargetPercentileMs;
    const latency = `${onTime} within ${summary.withinMs} ms (target ${summary.percentile} %`
        + `${worst === undefined ? "" : `, worst VM ${worst.toFixed(1)} ms`})`;
    const turnedAway = `turned away ${(summary.turnedAwayPercent ?? 0).toFixed(2)} %`
        + ` (at most ${summary.turnedAwayAtMostPercent} %)`;
    const mark = summary.reasons.length === 0 ? "ok      " : "DEGRADED";
    const counts = `${summary.arrived} arrived in 10 s`;
    return `${mark}  ${summary.service}/${summary.className}: ${latency}; ${turnedAway}; ${counts}`;
};

const describeVm = ({ vm, status }: Answer): string => {
    if (status.isErr()) {
        return `${vm.vmId} (${vm.availabilityZone}): no answer, ${status.error.code} ${status.error.message}`;
    }
    const { configurationVersion, ready, sharesOwned, logAvailable } = status.value;
    const parts = [
        `version ${configurationVersion ?? "none"}`,
        ready ? "ready" : "not ready",
        `${sharesOwned} shares`,
        `log ${logAvailable ? "available" : "unavailable"}`,
    ];
    return `${vm.vmId} (${vm.availabilityZone}): ${parts.join(", ")}`;
};

const listVmProblems = ({ vm, status }: Answer, newest: number | undefined): readonly string[] => {
    if (status.isErr()) {
        return [`${vm.vmId}: no answer, ${status.error.code} ${status.error.message}`];
    }
    const { ready, reasonsNotReady, configurationVersion } = status.value;
    const isBehind = newest !== undefined && (configurationVersion ?? 0) < newest;
    return [
        ...ready
            ? []
            : [`${vm.vmId}: not ready: ${
                reasonsNotReady.length === 0 ? "no reason given" : reasonsNotReady.join("; ")
            }`],
        ...isBehind ? [`${vm.vmId}: version ${configurationVersion ?? "none"} in force, newest is ${newest}`] : [],
    ];
};

const listStale = (answers: readonly Answer[], logError: MarigoldstallError | undefined): readonly string[] => [
    ...logError === undefined ? [] : [`log: ${logError.code} ${logError.message}`],
    ...answers.flatMap(({ vm, status }) => status.isOk() ? status.value.stale.map(text => `${vm.vmId}: ${text}`) : []),
];

const listBackendServers = (statuses: readonly DaemonStatus[]): readonly string[] => {
    const counts = new Map<string, number>();
    for (const server of statuses.flatMap(entry => entry.backendServers)) {
        const key = `${server.service} ${server.vmId} (${server.address}): ${server.condition}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    const lines = [...counts].sort(([left], [right]) => left < right ? -1 : 1)
        .map(([key, count]) => `${key} for ${count} of ${statuses.length} entry VMs`);
    const more = lines.length - MAX_BACKEND_SERVER_LINES;
    return more > 0 ? [...lines.slice(0, MAX_BACKEND_SERVER_LINES), `and ${more} more, see --json`] : lines;
};

const listShareProblems = (answers: readonly Answer[], sharesOwned: number): readonly string[] => {
    const isKnown = answers.every(answer => answer.status.isOk());
    return isKnown && sharesOwned < SHARE_COUNT
        ? [`${sharesOwned} of ${SHARE_COUNT} shares have an owner; requests with keys of the others are not run`]
        : [];
};

const section = (title: string, lines: readonly string[]): readonly string[] =>
    lines.length === 0 ? [] : [title, ...lines.map(line => `  ${line}`)];

/** `status` */
export const status: CommandDefinition = {
    name: "status",
    help: "Shows each class against its targets, what is degraded and why, stale information and the measuring budget.",
    arguments: [],
    options: [],
    handler: async context => {
        const connections = await context.connect();
        if (connections.isErr()) {
            return err(connections.error);
        }
        const { daemons, log } = connections.value;
        const vms = await listDaemons(connections.value);
        if (vms.isErr()) {
            return err(vms.error);
        }
        const [stream, answers] = await Promise.all([
            readStream(log),
            Promise.all(vms.value.map(async vm => ({ vm, status: await daemons.readStatus(vm.address) }))),
        ]);
        const statuses = answers.flatMap(answer => answer.status.isOk() ? [answer.status.value] : []);
        const firstError = answers.flatMap(answer => answer.status.isErr() ? [answer.status.error] : [])[0];
        if (statuses.length === 0 && firstError !== undefined) {
            return err({ exitCode: ExitCode.Unreachable, error: firstError });
        }
        const logVersion = stream.isOk() ? stream.value.fold.accepted?.version : undefined;
        const versions = [
            ...statuses.flatMap(entry => entry.configurationVersion ?? []),
            ...logVersion === undefined ? [] : [logVersion],
        ];
        const newest = versions.length === 0 ? undefined : Math.max(...versions);
        const classes = summarizeClasses(statuses.flatMap(entry => entry.classes));
        const measuring = {
            probesInLastSecond: statuses.reduce((total, entry) => total + entry.probesInLastSecond, 0),
            // Daemons on an older version may state another budget; the newest version decides.
            probesPerSecond: statuses.find(entry => entry.configurationVersion === newest)?.probesPerSecond,
        };
        const sharesOwned = statuses.reduce((total, entry) => total + entry.sharesOwned, 0);
        const degraded = [
            ...classes.flatMap(entry => entry.reasons.map(reason => `${entry.service}/${entry.className}: ${reason}`)),
            ...answers.flatMap(answer => listVmProblems(answer, newest)),
            ...listShareProblems(answers, sharesOwned),
        ];
        const stale = listStale(answers, stream.isErr() ? stream.error : undefined);
        return ok({
            exitCode: degraded.length === 0 ? ExitCode.Success : ExitCode.NotInForceOrDegraded,
            json: {
                degraded: degraded.length > 0,
                degradedReasons: degraded,
                newestVersion: newest,
                classes,
                measuring,
                sharesOwned,
                stale,
                vms: answers.map(answer =>
                    answer.status.isOk()
                        ? { address: answer.vm.address, ...answer.status.value }
                        : { vmId: answer.vm.vmId, address: answer.vm.address, error: answer.status.error.code }
                ),
            },
            lines: [
                `newest version ${newest ?? "none"}, ${statuses.length} of ${answers.length} entry VMs answered`,
                ...section("classes", classes.map(describeClass)),
                ...section("entry VMs", answers.map(describeVm)),
                ...section("backend servers that are not simply usable", listBackendServers(statuses)),
                `measuring: ${measuring.probesInLastSecond} probes in the last second, `
                + `budget ${measuring.probesPerSecond ?? "unknown"} per second for the fleet`,
                ...section("stale information", stale),
                ...degraded.length === 0 ? ["not degraded"] : section("degraded", degraded),
            ],
        });
    },
};
