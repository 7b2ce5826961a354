import type { VmInfo } from "@marigoldstall/fleet.hubs";

export const createVm = (vmId: string, availabilityZone: string, linkMbps = 10): VmInfo => ({
    vmId,
    availabilityZone,
    host: `10.0.0.${vmId}`,
    cores: 1,
    linkMbps,
});
