import type { Member } from "@marigoldstall/fleet.membership";

const ZONES = ["bezigrad", "vic", "moste", "hlinky", "vlcince", "solinky"];
const FIRST_PORT = 10_000;

/** Generates a member of a simulated fleet, whose VM id and incarnation are as long as real ones. */
export const generateMember = (index: number): Member => {
    const availabilityZone = ZONES[index % ZONES.length] ?? "";
    const incarnationSuffix = index.toString(16).padStart(12, "0");
    return {
        daemon: {
            vmId: `entry-${availabilityZone}-${Math.floor(index / ZONES.length) + 1}`,
            incarnation: `0190f3c2-5a10-7000-8000-${incarnationSuffix}`,
        },
        address: `10.20.30.40:${FIRST_PORT + index}`,
        availabilityZone,
    };
};
