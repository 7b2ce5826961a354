import type { Confirmation } from "@marigoldstall/fleet.view";
import { encode } from "@msgpack/msgpack";
import { FLEET_MESSAGE_VERSION } from "./fleet-message-version.js";
import type { FleetMessage } from "./fleet-message.js";
import type { VmInfo } from "./vm-info.js";

const encodeVm = (vm: VmInfo): readonly unknown[] => [vm.vmId, vm.availabilityZone, vm.host, vm.cores, vm.linkMbps];

const encodeAgeMs = (ageMs: number): number => Number.isFinite(ageMs) ? Math.round(ageMs) : -1;

const encodeConfirmation = (confirmation: Confirmation | undefined): readonly unknown[] =>
    confirmation === undefined ? [] : [confirmation.readerId, confirmation.number];

/** Encodes a message as arrays without field names, so that it fits into one packet. */
export const encodeFleetMessage = (message: FleetMessage): Uint8Array => {
    const { summary } = message;
    return encode([
        FLEET_MESSAGE_VERSION,
        encodeVm(message.sender),
        message.isHub,
        [
            summary.nextOffset ?? -1,
            summary.baseOffset,
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
        ],
        message.loads.map(({ instanceId, load, ageMs }) => [
            instanceId,
            load.inFlight,
            load.queued,
            load.slots,
            load.slownessPercent ?? -1,
            encodeAgeMs(ageMs),
        ]),
        message.sentRequests.map(({ instanceId, ageMs }) => [instanceId, encodeAgeMs(ageMs)]),
        message.vms.map(vm => [encodeVm(vm.info), encodeAgeMs(vm.ageMs)]),
    ]);
};
