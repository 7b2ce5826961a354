import type { Confirmation, RegistrationChange } from "@marigoldstall/fleet.view";
import { decode } from "@msgpack/msgpack";
import { FLEET_MESSAGE_VERSION } from "./fleet-message-version.js";
import type { FleetMessage } from "./fleet-message.js";
import type { LoadUpdate } from "./load-update.js";
import type { SentRequest } from "./sent-request.js";
import type { VmInfo } from "./vm-info.js";
import type { VmLiveness } from "./vm-liveness.js";

type Row = readonly unknown[];

const rejectValue = (expected: string): never => {
    throw new TypeError(`expected ${expected}`);
};

const asRow = (value: unknown): Row => Array.isArray(value) ? value as Row : rejectValue("an array");
const asString = (value: unknown): string => typeof value === "string" ? value : rejectValue("a string");
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

const decodeSentRequest = (value: unknown): SentRequest => {
    const [instanceId, ageMs] = asRow(value);
    return { instanceId: asString(instanceId), ageMs: asAgeMs(ageMs) };
};

const decodeConfirmation = (value: unknown): Confirmation | undefined => {
    const [readerId, readNumber] = asRow(value);
    return readerId === undefined ? undefined : { readerId: asString(readerId), number: asNumber(readNumber) };
};

const decodeMessage = (value: unknown): FleetMessage | undefined => {
    const [version, sender, isHub, view, loads, sentRequests, vms] = asRow(value);
    if (version !== FLEET_MESSAGE_VERSION) {
        return undefined;
    }
    const [
        nextOffset,
        baseOffset,
        ageMs,
        configurationVersion,
        configurationAgeMs,
        confirmationRow,
        configurationConfirmationRow,
        changes,
    ] = asRow(view);
    const next = asNumber(nextOffset);
    return {
        sender: decodeVm(sender),
        isHub: asBoolean(isHub),
        summary: {
            nextOffset: next < 0 ? undefined : next,
            baseOffset: asNumber(baseOffset),
            ageMs: asAgeMs(ageMs),
            confirmation: decodeConfirmation(confirmationRow),
            configurationConfirmation: decodeConfirmation(configurationConfirmationRow),
            configurationVersion: asNumber(configurationVersion),
            configurationAgeMs: asAgeMs(configurationAgeMs),
            changes: asRow(changes).map(decodeRegistrationChange),
        },
        loads: asRow(loads).map(decodeLoadUpdate),
        sentRequests: asRow(sentRequests).map(decodeSentRequest),
        vms: asRow(vms).map(decodeVmLiveness),
    };
};

/** Decodes a datagram. Returns undefined if it is malformed or has another version. */
export const decodeFleetMessage = (bytes: Uint8Array): FleetMessage | undefined => {
    try {
        return decodeMessage(decode(bytes));
    }
    catch {
        // Datagrams are untrusted network input. The caller counts and logs the malformed ones.
        return undefined;
    }
};
