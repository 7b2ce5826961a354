import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { Vm } from "@marigoldstall/core.types";
import { SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import type { DaemonStatus } from "../daemon-status.js";
import { ExitCode } from "../exit-code.js";
import { listDaemons } from "../list-daemons.js";
import { readConfigurationStream } from "../read-configuration-stream.js";
import type { ClassSummary } from "./class-summary.js";
import { summarizeClasses } from "./summarize-classes.js";

const MAX_BACKEND_SERVER_LINES = 30;

interface StatusResponse {
    readonly vm: Vm;
    readonly status: Result<DaemonStatus, MarigoldstallError>;
}

const describeClass = (summary: ClassSummary): string => {
    const onTime = summary.onTimePercent === undefined ? "no responses" : `${summary.onTimePercent.toFixed(2)} %`;
    const worstLatencyMs = summary.worstAtTargetPercentileMs;
    const latency = `${onTime} within ${summary.withinMs} ms (target ${summary.percentile} %`
        + `${worstLatencyMs === undefined ? "" : `, worst VM ${worstLatencyMs.toFixed(1)} ms`})`;
    const rejected = `rejected ${(summary.turnedAwayPercent ?? 0).toFixed(2)} %`
        + ` (at most ${summary.turnedAwayAtMostPercent} %)`;
    const label = summary.reasons.length === 0 ? "ok      " : "DEGRADED";
    const counts = `${summary.arrived} arrived in the last 10 s`;
    return `${label}  ${summary.service}/${summary.className}: ${latency}; ${rejected}; ${counts}`;
};

const describeVm = ({ vm, status }: StatusResponse): string => {
    if (status.isErr()) {
        return `${vm.vmId} (${vm.availabilityZone}): status unavailable, ${status.error.code} ${status.error.message}`;
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

const listVmProblems = ({ vm, status }: StatusResponse, newest: number | undefined): readonly string[] => {
    if (status.isErr()) {
        return [`${vm.vmId}: status unavailable, ${status.error.code} ${status.error.message}`];
    }
    const { ready, reasonsNotReady, configurationVersion } = status.value;
    const isOutdated = newest !== undefined && (configurationVersion ?? 0) < newest;
    return [
        ...ready
            ? []
            : [`${vm.vmId}: not ready: ${
                reasonsNotReady.length === 0 ? "no reason given" : reasonsNotReady.join("; ")
            }`],
        ...isOutdated ? [`${vm.vmId}: version ${configurationVersion ?? "none"} in force, newest is ${newest}`] : [],
    ];
};

const listStaleInformation = (
    responses: readonly StatusResponse[],
    logError: MarigoldstallError | undefined,
): readonly string[] => [
    ...logError === undefined ? [] : [`log: ${logError.code} ${logError.message}`],
    ...responses.flatMap(({ vm, status }) =>
        status.isOk() ? status.value.stale.map(text => `${vm.vmId}: ${text}`) : []
    ),
];

const listBackendServers = (statuses: readonly DaemonStatus[]): readonly string[] => {
    const counts = new Map<string, number>();
    for (const server of statuses.flatMap(entry => entry.backendServers)) {
        const key = `${server.service} ${server.vmId} (${server.address}): ${server.condition}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    const lines = [...counts].sort(([left], [right]) => left < right ? -1 : 1)
        .map(([key, count]) => `${key} for ${count} of ${statuses.length} entry VMs`);
    const omittedCount = lines.length - MAX_BACKEND_SERVER_LINES;
    return omittedCount > 0
        ? [...lines.slice(0, MAX_BACKEND_SERVER_LINES), `and ${omittedCount} more, listed with --json`]
        : lines;
};

const listShareProblems = (responses: readonly StatusResponse[], sharesOwned: number): readonly string[] => {
    const isComplete = responses.every(response => response.status.isOk());
    return isComplete && sharesOwned < SHARE_COUNT
        ? [`${sharesOwned} of ${SHARE_COUNT} shares have an owner; requests with keys in the other shares are not run`]
        : [];
};

const formatSection = (title: string, lines: readonly string[]): readonly string[] =>
    lines.length === 0 ? [] : [title, ...lines.map(line => `  ${line}`)];

/** The `status` command. */
export const status: CommandDefinition = {
    name: "status",
    help:
        "Shows whether each class meets its targets, what is degraded and why, stale information and the probe budget.",
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
        const [stream, responses] = await Promise.all([
            readConfigurationStream(log),
            Promise.all(vms.value.map(async vm => ({ vm, status: await daemons.readStatus(vm.address) }))),
        ]);
        const statuses = responses.flatMap(response => response.status.isOk() ? [response.status.value] : []);
        const firstError = responses.flatMap(response => response.status.isErr() ? [response.status.error] : [])[0];
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
            // Daemons with an older version may report another budget, so the budget of the newest version is shown.
            probesPerSecond: statuses.find(entry => entry.configurationVersion === newest)?.probesPerSecond,
        };
        const sharesOwned = statuses.reduce((total, entry) => total + entry.sharesOwned, 0);
        const degraded = [
            ...classes.flatMap(entry => entry.reasons.map(reason => `${entry.service}/${entry.className}: ${reason}`)),
            ...responses.flatMap(response => listVmProblems(response, newest)),
            ...listShareProblems(responses, sharesOwned),
        ];
        const stale = listStaleInformation(responses, stream.isErr() ? stream.error : undefined);
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
                vms: responses.map(response =>
                    response.status.isOk()
                        ? { address: response.vm.address, ...response.status.value }
                        : { vmId: response.vm.vmId, address: response.vm.address, error: response.status.error.code }
                ),
            },
            lines: [
                `newest version ${newest ?? "none"}, ${statuses.length} of ${responses.length} entry VMs responded`,
                ...formatSection("classes", classes.map(describeClass)),
                ...formatSection("entry VMs", responses.map(describeVm)),
                ...formatSection("backend servers that are not fully usable", listBackendServers(statuses)),
                `measuring: ${measuring.probesInLastSecond} probes in the last second, `
                + `budget ${measuring.probesPerSecond ?? "unknown"} per second for the fleet`,
                ...formatSection("stale information", stale),
                ...degraded.length === 0 ? ["not degraded"] : formatSection("degraded", degraded),
            ],
        });
    },
};
