import type { Confirmation, RegistrationChange } from "@marigoldstall/fleet.view";
import { decode } from "@msgpack/msgpack";
import { FLEET_MESSAGE_VERSION } from "./fleet-message-version.js";
import type { FleetMessage } from "./fleet-message.js";
import type { HeardVm } from "./heard-vm.js";
import type { LoadNews } from "./load-news.js";
import type { SendingNews } from "./sending-news.js";
import type { VmInfo } from "./vm-info.js";

type Row = readonly unknown[];

const fail = (what: string): never => {
    throw new TypeError(`${what} is malformed`);
};

const row = (value: unknown): Row => Array.isArray(value) ? value as Row : fail("a row");
const text = (value: unknown): string => typeof value === "string" ? value : fail("a text");
const number = (value: unknown): number => typeof value === "number" ? value : fail("a number");
const flag = (value: unknown): boolean => typeof value === "boolean" ? value : fail("a flag");

const age = (value: unknown): number => {
    const ageMs = number(value);
    return ageMs < 0 ? Infinity : ageMs;
};

const toVm = (value: unknown): VmInfo => {
    const [vmId, availabilityZone, host, cores, linkMbps] = row(value);
    return {
        vmId: text(vmId),
        availabilityZone: text(availabilityZone),
        host: text(host),
        cores: number(cores),
        linkMbps: number(linkMbps),
    };
};

const toHeardVm = (value: unknown): HeardVm => {
    const [info, ageMs] = row(value);
    return { info: toVm(info), ageMs: age(ageMs) };
};

const toChange = (value: unknown): RegistrationChange => {
    const [offset, id, startedAtUnixMs, service, address, availabilityZone, slots, isDraining, warmUpMs] = row(value);
    const instanceId = text(id);
    if (startedAtUnixMs === undefined) {
        return { offset: number(offset), instanceId, server: undefined };
    }
    return {
        offset: number(offset),
        instanceId,
        server: {
            instanceId,
            startedAtUnixMs: number(startedAtUnixMs),
            service: text(service),
            address: text(address),
            availabilityZone: text(availabilityZone),
            slots: number(slots),
            isDraining: flag(isDraining),
            warmUpMs: number(warmUpMs),
        },
    };
};

const toLoad = (value: unknown): LoadNews => {
    const [instanceId, inFlight, queued, slots, slownessPercent, ageMs] = row(value);
    const slowness = number(slownessPercent);
    return {
        instanceId: text(instanceId),
        load: {
            inFlight: number(inFlight),
            queued: number(queued),
            slots: number(slots),
            slownessPercent: slowness < 0 ? undefined : slowness,
        },
        ageMs: age(ageMs),
    };
};

const toSending = (value: unknown): SendingNews => {
    const [instanceId, ageMs] = row(value);
    return { instanceId: text(instanceId), ageMs: age(ageMs) };
};

const toConfirmation = (value: unknown): Confirmation | undefined => {
    const [readerId, readNumber] = row(value);
    return readerId === undefined ? undefined : { readerId: text(readerId), number: number(readNumber) };
};

const toMessage = (value: unknown): FleetMessage | undefined => {
    const [version, sender, isHub, view, loads, sendings, vms] = row(value);
    if (version !== FLEET_MESSAGE_VERSION) {
        return undefined;
    }
    const [nextOffset, baseOffset, ageMs, configurationVersion, configurationAgeMs, read, configurationRead, changes] =
        row(
            view,
        );
    const next = number(nextOffset);
    return {
        sender: toVm(sender),
        isHub: flag(isHub),
        summary: {
            nextOffset: next < 0 ? undefined : next,
            baseOffset: number(baseOffset),
            ageMs: age(ageMs),
            confirmation: toConfirmation(read),
            configurationConfirmation: toConfirmation(configurationRead),
            configurationVersion: number(configurationVersion),
            configurationAgeMs: age(configurationAgeMs),
            changes: row(changes).map(toChange),
        },
        loads: row(loads).map(toLoad),
        sendings: row(sendings).map(toSending),
        vms: row(vms).map(toHeardVm),
    };
};

/** Decodes a datagram; undefined when it is malformed or of another version. */
export const decodeFleetMessage = (bytes: Uint8Array): FleetMessage | undefined => {
    try {
        return toMessage(decode(bytes));
    }
    catch {
        // Datagrams come from the network; the caller counts and logs those that it cannot read.
        return undefined;
    }
};
