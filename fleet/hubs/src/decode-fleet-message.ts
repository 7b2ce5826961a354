import {
    type Confirmation,
    type RegistrationChange,
    UNKNOWN_ERA,
    type ViewSummary,
    type ZoneEvacuation,
} from "@marigoldstall/fleet.view";
import type { UsageReport } from "@marigoldstall/routing.quotas";
import { decode } from "@msgpack/msgpack";
import type { FindingsMessage } from "./findings-message.js";
import { FLEET_MESSAGE_VERSION } from "./fleet-message-version.js";
import type { FleetMessage } from "./fleet-message.js";
import { isBoundedMessage } from "./is-bounded-message.js";
import type { LimitFinding } from "./limit-finding.js";
import type { LoadAnswer } from "./load-answer.js";
import type { LoadQuery } from "./load-query.js";
import type { LoadUpdate } from "./load-update.js";
import type { PermitAnswer } from "./permit-answer.js";
import type { PermitQuery } from "./permit-query.js";
import type { QuotaAnswer } from "./quota-answer.js";
import type { QuotaQuery } from "./quota-query.js";
import type { QuotaStatus } from "./quota-status.js";
import type { SentRequest } from "./sent-request.js";
import type { ServerFailure } from "./server-failure.js";
import type { StatusMessage } from "./status-message.js";
import type { SuspectFinding } from "./suspect-finding.js";
import type { UpdatesMessage } from "./updates-message.js";
import type { VmInfo } from "./vm-info.js";
import type { VmLiveness } from "./vm-liveness.js";

type Row = readonly unknown[];

// Registrations with longer names are refused, and ids and addresses are shorter. What is accepted is told to other VMs
// in datagrams of at most 64 KB.
const MAX_STRING_CHARACTERS = 255;

// Columns of a load report, which the other columns of an answer follow.
const LOAD_COLUMNS = 6;

const rejectValue = (expected: string): never => {
    throw new TypeError(`expected ${expected}`);
};

const asRow = (value: unknown): Row => Array.isArray(value) ? value as Row : rejectValue("an array");
const asString = (value: unknown): string =>
    typeof value === "string" && value.length <= MAX_STRING_CHARACTERS ? value : rejectValue("a short string");
const asNumber = (value: unknown): number => typeof value === "number" ? value : rejectValue("a number");
const asBoolean = (value: unknown): boolean => typeof value === "boolean" ? value : rejectValue("a boolean");

const asAgeMs = (value: unknown): number => {
    const ageMs = asNumber(value);
    return ageMs < 0 ? Infinity : ageMs;
};

const decodeVm = (value: unknown): VmInfo => {
    const [vmId, availabilityZone, host, cores, linkMbps] = asRow(value);
    return {
        vmId: asString(vmId),
        availabilityZone: asString(availabilityZone),
        host: asString(host),
        cores: asNumber(cores),
        linkMbps: asNumber(linkMbps),
    };
};

const decodeVmLiveness = (value: unknown): VmLiveness => {
    const [info, ageMs] = asRow(value);
    return { info: decodeVm(info), ageMs: asAgeMs(ageMs) };
};

const decodeRegistrationChange = (value: unknown): RegistrationChange => {
    const [offset, id, startedAtUnixMs, service, address, availabilityZone, slots, isDraining, warmUpMs] = asRow(value);
    const instanceId = asString(id);
    if (startedAtUnixMs === undefined) {
        return { offset: asNumber(offset), instanceId, server: undefined };
    }
    return {
        offset: asNumber(offset),
        instanceId,
        server: {
            instanceId,
            startedAtUnixMs: asNumber(startedAtUnixMs),
            service: asString(service),
            address: asString(address),
            availabilityZone: asString(availabilityZone),
            slots: asNumber(slots),
            isDraining: asBoolean(isDraining),
            warmUpMs: asNumber(warmUpMs),
        },
    };
};

const decodeLoadUpdate = (value: unknown): LoadUpdate => {
    const [instanceId, inFlight, queued, slots, slownessPercent, ageMs] = asRow(value);
    const slowness = asNumber(slownessPercent);
    return {
        instanceId: asString(instanceId),
        load: {
            inFlight: asNumber(inFlight),
            queued: asNumber(queued),
            slots: asNumber(slots),
            slownessPercent: slowness < 0 ? undefined : slowness,
        },
        ageMs: asAgeMs(ageMs),
    };
};

// VMs of earlier releases, and those whose settings state no bounds for cold servers, send no such column.
const decodeWarmUp = (value: unknown): Pick<LoadUpdate, "warmUp"> => {
    if (value === undefined) {
        return {};
    }
    const [remainingMs, ageMs] = asRow(value);
    return { warmUp: { remainingMs: asNumber(remainingMs), ageMs: asAgeMs(ageMs) } };
};

const decodeSentRequest = (value: unknown): SentRequest => {
    const [instanceId, ageMs] = asRow(value);
    return { instanceId: asString(instanceId), ageMs: asAgeMs(ageMs) };
};

const decodeConfirmation = (value: unknown): Confirmation | undefined => {
    const [readerId, readNumber] = asRow(value);
    return readerId === undefined ? undefined : { readerId: asString(readerId), number: asNumber(readNumber) };
};

const decodeFailure = (value: unknown): ServerFailure => {
    const [instanceId, weight] = asRow(value);
    return { instanceId: asString(instanceId), weight: asNumber(weight) };
};

const decodeEvacuation = (value: unknown): ZoneEvacuation => {
    const [zone, era, offset, isEvacuated] = asRow(value);
    return {
        zone: asString(zone),
        position: { era: asNumber(era), offset: asNumber(offset) },
        isEvacuated: asBoolean(isEvacuated),
    };
};

const decodeSummary = (value: unknown): ViewSummary => {
    const [
        nextOffset,
        baseOffset,
        ageMs,
        configurationVersion,
        configurationAgeMs,
        confirmationRow,
        configurationConfirmationRow,
        changes,
        // VMs of earlier releases send no era.
        eraColumn = UNKNOWN_ERA,
        // Sent only if the operator has evacuated a zone, and not by VMs of earlier releases.
        evacuations,
    ] = asRow(value);
    const offset = asNumber(nextOffset);
    const era = asNumber(eraColumn);
    return {
        next: offset < 0 ? undefined : { era, offset },
        base: { era, offset: asNumber(baseOffset) },
        ageMs: asAgeMs(ageMs),
        confirmation: decodeConfirmation(confirmationRow),
        configurationConfirmation: decodeConfirmation(configurationConfirmationRow),
        configurationVersion: asNumber(configurationVersion),
        configurationAgeMs: asAgeMs(configurationAgeMs),
        changes: asRow(changes).map(decodeRegistrationChange),
        ...evacuations === undefined ? {} : { evacuations: asRow(evacuations).map(decodeEvacuation) },
    };
};

const decodeQuotaStatus = (value: unknown): QuotaStatus => {
    const [heardVms, metered] = asRow(value);
    return { heardVms: asNumber(heardVms), metered: metered === "all" ? metered : asRow(metered).map(asString) };
};

const decodeUsage = (value: unknown): UsageReport => {
    const [reporterId, sequence, tenants] = asRow(value);
    return {
        reporterId: asString(reporterId),
        sequence: asNumber(sequence),
        tenants: asRow(tenants).map(tenant => {
            const [name, total, recent] = asRow(tenant);
            return { name: asString(name), total: asNumber(total), recent: asNumber(recent) };
        }),
    };
};

const decodeStatus = (row: Row): StatusMessage => {
    // VMs of earlier releases, and those without quotas, do not send the last column.
    const [sender, isHub, view, vms, fleetSize, quotas] = row;
    return {
        type: "status",
        sender: decodeVm(sender),
        isHub: asBoolean(isHub),
        summary: decodeSummary(view),
        vms: asRow(vms).map(decodeVmLiveness),
        fleetSize: asNumber(fleetSize),
        ...quotas === undefined ? {} : { quotas: decodeQuotaStatus(quotas) },
    };
};

const decodeUpdates = (row: Row): UpdatesMessage => {
    const [vmId, loads, sentRequests, failures, usage] = row;
    return {
        type: "updates",
        vmId: asString(vmId),
        loads: asRow(loads).map(load => ({
            ...decodeLoadUpdate(load),
            ...decodeWarmUp(asRow(load)[LOAD_COLUMNS]),
        })),
        sentRequests: asRow(sentRequests).map(decodeSentRequest),
        failures: asRow(failures).map(decodeFailure),
        ...usage === undefined ? {} : { usage: decodeUsage(usage) },
    };
};

const decodeQuery = (row: Row): LoadQuery => {
    const [vmId, service, workMs, responseBytes, connectedInstanceIds] = row;
    return {
        type: "load-query",
        vmId: asString(vmId),
        service: asString(service),
        workMs: asNumber(workMs),
        responseBytes: asNumber(responseBytes),
        connectedInstanceIds: asRow(connectedInstanceIds).map(asString),
    };
};

const decodeAnswer = (row: Row): LoadAnswer => {
    const [service, averageSlowness, servers] = row;
    return {
        type: "load-answer",
        service: asString(service),
        averageSlowness: asNumber(averageSlowness),
        servers: asRow(servers).map(server => {
            const [sentRequestAgesMs, failures, isUnused, warmUp] = asRow(server).slice(LOAD_COLUMNS);
            return {
                ...decodeLoadUpdate(server),
                sentRequestAgesMs: asRow(sentRequestAgesMs).map(asAgeMs),
                failures: asNumber(failures),
                isUnused: asBoolean(isUnused),
                ...decodeWarmUp(warmUp),
            };
        }),
    };
};

const decodeLimit = (value: unknown): LimitFinding => {
    const [instanceId, startedAtUnixMs, limit, ageMs] = asRow(value);
    const perSecond = asNumber(limit);
    return {
        instanceId: asString(instanceId),
        startedAtUnixMs: asNumber(startedAtUnixMs),
        perSecond: perSecond < 0 ? undefined : perSecond,
        ageMs: asAgeMs(ageMs),
    };
};

const decodeSuspect = (value: unknown): SuspectFinding => {
    const [fingerprint, completionAgeMs, crashes] = asRow(value);
    return {
        fingerprint: asString(fingerprint),
        completionAgeMs: asAgeMs(completionAgeMs),
        crashes: asRow(crashes).map(crash => {
            const [instanceId, startedAtUnixMs, ageMs] = asRow(crash);
            return {
                instanceId: asString(instanceId),
                startedAtUnixMs: asNumber(startedAtUnixMs),
                ageMs: asAgeMs(ageMs),
            };
        }),
    };
};

const decodeFindings = (row: Row): FindingsMessage => {
    const [vmId, limits, suspects, leaving] = row;
    return {
        type: "findings",
        vmId: asString(vmId),
        limits: asRow(limits).map(decodeLimit),
        suspects: asRow(suspects).map(decodeSuspect),
        leaving: asRow(leaving).map(server => {
            const [instanceId, startedAtUnixMs] = asRow(server);
            return { instanceId: asString(instanceId), startedAtUnixMs: asNumber(startedAtUnixMs) };
        }),
    };
};

const decodePermitQuery = (row: Row): PermitQuery => {
    const [attemptId, instanceId] = row;
    return { type: "permit-query", attemptId: asString(attemptId), instanceId: asString(instanceId) };
};

const decodePermitAnswer = (row: Row): PermitAnswer => {
    const [attemptId, instanceId, isGranted, retryAfterMs] = row;
    return {
        type: "permit-answer",
        attemptId: asString(attemptId),
        instanceId: asString(instanceId),
        isGranted: asBoolean(isGranted),
        retryAfterMs: asNumber(retryAfterMs),
    };
};

const decodeQuotaQuery = (row: Row): QuotaQuery => {
    const [reporterId, requestKey, tenantName] = row;
    return {
        type: "quota-query",
        reporterId: asString(reporterId),
        requestKey: asString(requestKey),
        tenantName: asString(tenantName),
    };
};

const decodeQuotaAnswer = (row: Row): QuotaAnswer => {
    const [requestKey, verdict, retryAfterMs] = row;
    return {
        type: "quota-answer",
        requestKey: asString(requestKey),
        verdict: verdict === "admitted" || verdict === "exceeded" ? verdict : "unknown",
        retryAfterMs: asNumber(retryAfterMs),
    };
};

const decodeMessage = (value: unknown): FleetMessage | undefined => {
    const [version, type, ...row] = asRow(value);
    if (version !== FLEET_MESSAGE_VERSION) {
        return undefined;
    }
    switch (type) {
        case "status":
            return decodeStatus(row);
        case "updates":
            return decodeUpdates(row);
        case "load-query":
            return decodeQuery(row);
        case "load-answer":
            return decodeAnswer(row);
        case "findings":
            return decodeFindings(row);
        case "permit-query":
            return decodePermitQuery(row);
        case "permit-answer":
            return decodePermitAnswer(row);
        case "quota-query":
            return decodeQuotaQuery(row);
        case "quota-answer":
            return decodeQuotaAnswer(row);
        default:
            return undefined;
    }
};

/** Decodes a datagram. Returns undefined if it is malformed or has another version. */
export const decodeFleetMessage = (bytes: Uint8Array): FleetMessage | undefined => {
    if (!isBoundedMessage(bytes)) {
        return undefined;
    }
    try {
        return decodeMessage(decode(bytes));
    }
    catch {
        // Datagrams are untrusted network input. The caller counts and logs the malformed ones.
        return undefined;
    }
};
