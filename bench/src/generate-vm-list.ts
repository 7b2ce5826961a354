import type { VmList } from "@marigoldstall/core.types";
import { generateMember } from "./generate-member.js";

const ZONES = ["bezigrad", "vic", "moste", "hlinky", "vlcince", "solinky"];

const getServiceName = (index: number): string => `service-${String(index).padStart(2, "0")}`;

/** Generates a VM list whose backend servers are spread evenly over services and availability zones. */
export const generateVmList = (
    opts: {
        readonly backendServerCount: number;
        readonly serviceCount: number;
        readonly entryVmCount: number;
        readonly asOfMs: number;
    },
): VmList => ({
    asOfMs: opts.asOfMs,
    vms: [
        ...Array.from({ length: opts.entryVmCount }, (unused, index) => {
            const { daemon, address, availabilityZone } = generateMember(index);
            return { vmId: daemon.vmId, role: "entry", address, availabilityZone, state: "live" as const };
        }),
        ...Array.from({ length: opts.backendServerCount }, (unused, index) => ({
            vmId: `${getServiceName(index % opts.serviceCount)}-${Math.floor(index / opts.serviceCount) + 1}`,
            role: getServiceName(index % opts.serviceCount),
            address: `10.40.${Math.floor(index / 250)}.${index % 250 + 1}:8080`,
            availabilityZone: ZONES[index % ZONES.length] ?? "",
            state: "live" as const,
        })),
    ],
});
