import type { Confirmation } from "@marigoldstall/fleet.view";
import { encode } from "@msgpack/msgpack";
import { FLEET_MESSAGE_VERSION } from "./fleet-message-version.js";
import type { FleetMessage } from "./fleet-message.js";
import type { VmInfo } from "./vm-info.js";

const fromVm = (vm: VmInfo): readonly unknown[] => [vm.vmId, vm.availabilityZone, vm.host, vm.cores, vm.linkMbps];

const fromAge = (ageMs: number): number => Number.isFinite(ageMs) ? Math.round(ageMs) : -1;

const fromConfirmation = (confirmation: Confirmation | undefined): readonly unknown[] =>
    confirmation === undefined ? [] : [confirmation.readerId, confirmation.number];

/** Encodes a message as rows without field names, which keeps it within one packet. */
export const encodeFleetMessage = (message: FleetMessage): Uint8Array => {
    const { summary } = message;
    return encode([
        FLEET_MESSAGE_VERSION,
        fromVm(message.sender),
        message.isHub,
        [
            summary.nextOffset ?? -1,
            summary.baseOffset,
            fromAge(summary.ageMs),
            summary.configurationVersion,
            fromAge(summary.configurationAgeMs),
            fromConfirmation(summary.confirmation),
            fromConfirmation(summary.configurationConfirmation),
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
            fromAge(ageMs),
        ]),
        message.sendings.map(({ instanceId, ageMs }) => [instanceId, fromAge(ageMs)]),
        message.vms.map(vm => [fromVm(vm.info), fromAge(vm.ageMs)]),
    ]);
};
