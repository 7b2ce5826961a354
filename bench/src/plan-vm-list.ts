import type { VmList } from "@marigoldstall/core.types";
import { fleetMember } from "./fleet-member.js";

const ZONES = ["bezigrad", "vic", "moste", "hlinky", "vlcince", "solinky"];

/** Name of service number `index`. */
const serviceName = (index: number): string => `service-${String(index).padStart(2, "0")}`;

/** A VM list with this many backend servers, spread evenly over services and availability zones. */
export const planVmList = (
    opts: {
        readonly backendServers: number;
        readonly services: number;
        readonly entryVms: number;
        readonly asOfMs: number;
    },
): VmList => ({
    asOfMs: opts.asOfMs,
    vms: [
        ...Array.from({ length: opts.entryVms }, (unused, index) => {
            const { daemon, address, availabilityZone } = fleetMember(index);
            return { vmId: daemon.vmId, role: "entry", address, availabilityZone, state: "live" as const };
        }),
        ...Array.from({ length: opts.backendServers }, (unused, index) => ({
            vmId: `${serviceName(index % opts.services)}-${Math.floor(index / opts.services) + 1}`,
            role: serviceName(index % opts.services),
            address: `10.40.${Math.floor(index / 250)}.${index % 250 + 1}:8080`,
            availabilityZone: ZONES[index % ZONES.length] ?? "",
            state: "live" as const,
        })),
    ],
});
