import type { Confirmation, ZoneEvacuation } from "@marigoldstall/fleet.view";
import type { UsageReport } from "@marigoldstall/routing.quotas";
import { encode } from "@msgpack/msgpack";
import type { FindingsMessage } from "./findings-message.js";
import { FLEET_MESSAGE_VERSION } from "./fleet-message-version.js";
import type { FleetMessage } from "./fleet-message.js";
import type { LoadAnswer } from "./load-answer.js";
import type { LoadQuery } from "./load-query.js";
import type { LoadUpdate } from "./load-update.js";
import type { StatusMessage } from "./status-message.js";
import type { UpdatesMessage } from "./updates-message.js";
import type { VmInfo } from "./vm-info.js";

const FAILURES_PRECISION = 100;

const encodeVm = (vm: VmInfo): readonly unknown[] => [vm.vmId, vm.availabilityZone, vm.host, vm.cores, vm.linkMbps];

const encodeAgeMs = (ageMs: number): number => Number.isFinite(ageMs) ? Math.round(ageMs) : -1;

const encodeConfirmation = (confirmation: Confirmation | undefined): readonly unknown[] =>
    confirmation === undefined ? [] : [confirmation.readerId, confirmation.number];

const encodeEvacuation = ({ zone, position, isEvacuated }: ZoneEvacuation): readonly unknown[] => [
    zone,
    position.era,
    position.offset,
    isEvacuated,
];

const encodeLoad = ({ instanceId, load, ageMs }: LoadUpdate): readonly unknown[] => [
    instanceId,
    load.inFlight,
    load.queued,
    load.slots,
    load.slownessPercent ?? -1,
    encodeAgeMs(ageMs),
];

// An optional last column.
const encodeWarmUp = ({ warmUp }: LoadUpdate): readonly unknown[] =>
    warmUp === undefined ? [] : [[Math.round(warmUp.remainingMs), encodeAgeMs(warmUp.ageMs)]];

const encodeStatus = (message: StatusMessage): readonly unknown[] => {
    const { summary } = message;
    return [
        encodeVm(message.sender),
        message.isHub,
        [
            summary.next?.offset ?? -1,
            summary.base.offset,
            encodeAgeMs(summary.ageMs),
            summary.configurationVersion,
            encodeAgeMs(summary.configurationAgeMs),
            encodeConfirmation(summary.confirmation),
            encodeConfirmation(summary.configurationConfirmation),
            summary.changes.map(({ offset, instanceId, server }) =>
                server === undefined ? [offset, instanceId] : [
                    offset,
                    instanceId,
                    server.startedAtUnixMs,
                    server.service,
                    server.address,
                    server.availabilityZone,
                    server.slots,
                    server.isDraining,
                    Math.round(server.warmUpMs),
                ]
            ),
            summary.next?.era ?? 0,
            ...summary.evacuations === undefined ? [] : [summary.evacuations.map(encodeEvacuation)],
        ],
        message.vms.map(vm => [encodeVm(vm.info), encodeAgeMs(vm.ageMs)]),
        message.fleetSize,
        ...message.quotas === undefined ? [] : [[message.quotas.heardVms, message.quotas.metered]],
    ];
};

const encodeUsage = ({ reporterId, sequence, tenants }: UsageReport): readonly unknown[] => [
    reporterId,
    sequence,
    tenants.map(({ name, total, recent }) => [name, total, recent]),
];

const encodeUpdates = (message: UpdatesMessage): readonly unknown[] => [
    message.vmId,
    message.loads.map(load => [...encodeLoad(load), ...encodeWarmUp(load)]),
    message.sentRequests.map(({ instanceId, ageMs }) => [instanceId, encodeAgeMs(ageMs)]),
    message.failures.map(({ instanceId, weight }) => [instanceId, weight]),
    ...message.usage === undefined ? [] : [encodeUsage(message.usage)],
];

const encodeQuery = (query: LoadQuery): readonly unknown[] => [
    query.vmId,
    query.service,
    Math.round(query.workMs),
    Math.round(query.responseBytes),
    query.connectedInstanceIds,
];

const encodeAnswer = (answer: LoadAnswer): readonly unknown[] => [
    answer.service,
    answer.averageSlowness,
    answer.servers.map(server => [
        ...encodeLoad(server),
        server.sentRequestAgesMs.map(encodeAgeMs),
        Math.round(server.failures * FAILURES_PRECISION) / FAILURES_PRECISION,
        server.isUnused,
        ...encodeWarmUp(server),
    ]),
];

const encodeFindings = (message: FindingsMessage): readonly unknown[] => [
    message.vmId,
    message.limits.map(({ instanceId, startedAtUnixMs, perSecond, ageMs }) => [
        instanceId,
        startedAtUnixMs,
        perSecond ?? -1,
        encodeAgeMs(ageMs),
    ]),
    message.suspects.map(({ fingerprint, completionAgeMs, crashes }) => [
        fingerprint,
        encodeAgeMs(completionAgeMs),
        crashes.map(({ instanceId, startedAtUnixMs, ageMs }) => [instanceId, startedAtUnixMs, encodeAgeMs(ageMs)]),
    ]),
    message.leaving.map(({ instanceId, startedAtUnixMs }) => [instanceId, startedAtUnixMs]),
];

const encodeBody = (message: FleetMessage): readonly unknown[] => {
    switch (message.type) {
        case "status":
            return encodeStatus(message);
        case "updates":
            return encodeUpdates(message);
        case "load-query":
            return encodeQuery(message);
        case "load-answer":
            return encodeAnswer(message);
        case "findings":
            return encodeFindings(message);
        case "permit-query":
            return [message.attemptId, message.instanceId];
        case "permit-answer":
            return [message.attemptId, message.instanceId, message.isGranted, Math.ceil(message.retryAfterMs)];
        case "quota-query":
            return [message.reporterId, message.requestKey, message.tenantName];
        case "quota-answer":
            return [message.requestKey, message.verdict, Math.ceil(message.retryAfterMs)];
    }
};

/** Encodes a message as arrays without field names, so that it fits into one packet. */
export const encodeFleetMessage = (message: FleetMessage): Uint8Array =>
    encode([FLEET_MESSAGE_VERSION, message.type, ...encodeBody(message)]);
